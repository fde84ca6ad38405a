package org.ebonypond.consensus;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.internal.Genesis;
import org.ebonypond.consensus.internal.Proposals;
import org.ebonypond.consensus.internal.RaftLog;
import org.ebonypond.consensus.internal.Replication;
import org.ebonypond.consensus.internal.SnapshotReceiver;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/**
 * One replica of a replicated log (Raft with pre-vote, check-quorum, learners and snapshots). Not
 * thread-safe; holds no thread, socket, file or clock. A driver passes in ticks, messages and
 * proposals, then calls {@link #flush}, and carries its output. Times are monotonic milliseconds.
 *
 * <p>A failed storage operation is thrown and is fatal: every later call throws it again.
 */
public final class RaftNode {
  private static final byte[] NOTHING = {};

  private final RaftConfig config;
  private final StateMachine machine;
  private final RandomGenerator random;
  private final EventSink events;
  private final RaftLog log;
  private final String identity;
  private final Proposals proposals = new Proposals();
  private final SnapshotReceiver receiver = new SnapshotReceiver();
  private final Genesis genesis;
  private final Set<String> votes = new HashSet<>();

  private HardState hard;
  private RaftRole role = RaftRole.FOLLOWER;
  private @Nullable String leader;
  private @Nullable String leaderIdentity;
  private @Nullable Replication replication;
  private @Nullable EbonypondException failure;
  private long commit;
  private long applied;
  private long electionDeadline;
  private long lastLeaderContact;
  private long leaderSince;
  private long leaderFirstIndex;
  private long lastNow;
  private List<RaftOutput.Outbound> messages = new ArrayList<>();
  private List<RoleChange> roleChanges = new ArrayList<>();

  /**
   * Starts a replica from its storage and restores the state machine from the snapshot.
   *
   * @param random the source of election timeouts
   * @param now the current time
   */
  public RaftNode(
      RaftConfig config,
      LogStorage storage,
      StateMachine machine,
      RandomGenerator random,
      EventSink events,
      long now) {
    this.config = config;
    this.machine = machine;
    this.random = random;
    this.events = events;
    this.log = new RaftLog(storage);
    this.identity = storage.identity();
    this.genesis = new Genesis(config);
    this.hard = storage.hardState();
    this.lastNow = now;
    Snapshot s = storage.snapshot();
    if (s != null) {
      machine.restore(s.data());
      commit = s.index();
      applied = s.index();
    }
    // After a restart the replica does not know when it last heard from a leader. It refuses votes
    // for one election timeout, because that leader may still rely on its lease.
    lastLeaderContact = log.isEmpty() ? now - config.electionMaxMillis() : now;
    resetElectionDeadline(now);
    become(idleRole());
  }

  /** Takes the passing of time; to be called at least every few milliseconds. */
  public void tick(long now) {
    guarded(now, () -> onTick(now));
  }

  /**
   * Takes a message.
   *
   * @param fromName the name of the sending replica
   */
  public void receive(long now, String fromName, RaftMessage message) {
    if (!config.replicas().contains(fromName) || fromName.equals(config.self())) {
      return;
    }
    guarded(now, () -> onMessage(now, fromName, message));
  }

  /**
   * Takes a proposal; its result is part of the output of a later flush.
   *
   * @param proposalId a number that is unique among the pending proposals of this replica
   * @param command the encoded command
   */
  public void propose(long now, long proposalId, byte[] command) {
    guarded(
        now,
        () -> {
          if (role != RaftRole.LEADER) {
            proposals.refuse(proposalId, leader);
            return;
          }
          LogEntry e = log.append(hard.term(), EntryType.COMMAND, command);
          proposals.add(e.index(), proposalId);
        });
  }

  /** Syncs the storage once, applies what is committed, and returns what is to be sent. */
  public RaftOutput flush(long now) {
    guarded(now, () -> onFlush(now));
    RaftOutput output = new RaftOutput(messages, proposals.drain(), roleChanges);
    messages = new ArrayList<>();
    roleChanges = new ArrayList<>();
    return output;
  }

  /** Returns the role at the last call. */
  public RaftRole role() {
    return role;
  }

  /** Returns whether this replica led at the last call. */
  public boolean isLeader() {
    return role == RaftRole.LEADER;
  }

  /** Returns the name of the presumed leader, or null. */
  public @Nullable String leaderHint() {
    return leader;
  }

  /** Returns the current term. */
  public long term() {
    return hard.term();
  }

  /** Returns the identity of the data folder. */
  public String identity() {
    return identity;
  }

  /** Returns the index of the last entry that is durable here. */
  public long lastDurableIndex() {
    return log.durableIndex();
  }

  /** Returns whether this replica is a voter in its latest configuration. */
  public boolean isVoter() {
    return log.membership().contains(config.self(), identity);
  }

  /** Returns the latest configuration. */
  public Membership membership() {
    return log.membership();
  }

  /** Returns the log index of the latest configuration, or 0 if there is none. */
  public long membershipIndex() {
    return log.membershipIndex();
  }

  /** Returns the last index that is known to be committed. */
  public long commitIndex() {
    return commit;
  }

  /** Returns the last index that was applied to the state machine. */
  public long appliedIndex() {
    return applied;
  }

  /**
   * Returns the time until which no other replica can become leader, so that this replica may act
   * as the leader and serve reads of its state machine; {@code Long.MIN_VALUE} if it may not. A
   * tenth of the election timeout is left for clocks of different speed.
   */
  public long leaseHeldUntil() {
    Replication r = replication;
    if (r == null || applied < leaderFirstIndex) {
      return Long.MIN_VALUE;
    }
    long contact = r.quorumContact(lastNow);
    return contact == Long.MIN_VALUE ? contact : contact + config.electionMinMillis() * 9 / 10;
  }

  /** Returns whether this replica may act as the leader at a time. */
  public boolean mayLead(long now) {
    return now < leaseHeldUntil();
  }

  /**
   * Returns committed entries, for processes that are not replicas.
   *
   * @param index the last index that the reader has
   * @param max the largest number of entries
   */
  public CommittedEntries entriesAfter(long index, int max) {
    Snapshot s = index + 1 < log.firstIndex() ? log.snapshot() : null;
    long from = s == null ? index + 1 : s.index() + 1;
    long last = Math.min(applied, from + max - 1);
    return new CommittedEntries(s, log.slice(from, last, config.maxBatchBytes()), applied);
  }

  private void guarded(long now, Runnable action) {
    if (failure != null) {
      throw failure;
    }
    try {
      lastNow = Math.max(lastNow, now);
      checkQuorum(now);
      action.run();
    } catch (EbonypondException e) {
      failure = e;
      if (e.code() == ErrorCode.INVARIANT_VIOLATED) {
        emit(EventCode.INVARIANT_VIOLATED, Map.of("detail", String.valueOf(e.getMessage())));
      }
      throw e;
    }
  }

  /** Ends the leadership of a replica that lost contact to a quorum, or that was frozen. */
  private void checkQuorum(long now) {
    Replication r = replication;
    if (r == null) {
      return;
    }
    long contact = Math.max(leaderSince, r.quorumContact(now));
    if (now - contact >= config.electionMinMillis()) {
      becomeFollower(hard.term(), null, null);
      resetElectionDeadline(now);
    }
  }

  private void onTick(long now) {
    if (replication != null) {
      replication.heartbeat(now, commit);
      return;
    }
    if (now < electionDeadline) {
      return;
    }
    resetElectionDeadline(now);
    leader = null;
    leaderIdentity = null;
    if (log.isEmpty()) {
      startGenesis();
    } else if (isVoter()) {
      startPreVote(now);
    }
  }

  private void startGenesis() {
    if (!config.self().equals(config.smallestName())) {
      return;
    }
    if (!identity.equals(hard.vote())) {
      save(new HardState(hard.term() + 1, identity));
    }
    genesis.start(hard.term(), identity);
    RaftMessage m = new RaftMessage.GenesisRequest(hard.term(), identity);
    config.replicas().stream().filter(n -> !n.equals(config.self())).forEach(n -> send(n, m));
    formFirstConfiguration(lastNow);
  }

  private void formFirstConfiguration(long now) {
    Membership m = genesis.membership();
    if (m != null && log.isEmpty()) {
      log.append(hard.term(), EntryType.MEMBERSHIP, MessagePackCodec.encode(m));
      becomeLeader(now);
    }
  }

  private void startPreVote(long now) {
    become(RaftRole.PRE_CANDIDATE);
    votes.clear();
    votes.add(identity);
    requestVotes(hard.term() + 1, true);
    if (votes.size() >= log.membership().quorum()) {
      startElection(now);
    }
  }

  private void startElection(long now) {
    save(new HardState(hard.term() + 1, identity));
    leader = null;
    leaderIdentity = null;
    become(RaftRole.CANDIDATE);
    resetElectionDeadline(now);
    votes.clear();
    votes.add(identity);
    requestVotes(hard.term(), false);
    if (votes.size() >= log.membership().quorum()) {
      becomeLeader(now);
    }
  }

  private void requestVotes(long term, boolean preVote) {
    log.membership()
        .members()
        .forEach(
            (name, to) -> {
              if (!to.equals(identity)) {
                send(
                    name,
                    new RaftMessage.VoteRequest(
                        term, identity, to, log.lastIndex(), log.lastTerm(), preVote));
              }
            });
  }

  private void becomeLeader(long now) {
    leader = config.self();
    leaderIdentity = identity;
    leaderSince = now;
    LogEntry first = log.append(hard.term(), EntryType.NOOP, NOTHING);
    leaderFirstIndex = first.index();
    replication = new Replication(config, log, hard.term(), this::send, now);
    become(RaftRole.LEADER);
    emit(EventCode.LEADER_ELECTED, Map.of("term", String.valueOf(hard.term())));
    replication.heartbeat(now, commit);
  }

  private void becomeFollower(long term, @Nullable String name, @Nullable String newIdentity) {
    if (term > hard.term()) {
      save(new HardState(term, null));
      leader = null;
      leaderIdentity = null;
    }
    if (role == RaftRole.LEADER) {
      emit(EventCode.LEADER_STEPPED_DOWN, Map.of("term", String.valueOf(hard.term())));
      replication = null;
      leader = null;
      leaderIdentity = null;
      proposals.abandon(name);
    }
    boolean leaderChanged = name != null && !name.equals(leader);
    if (name != null) {
      leader = name;
      leaderIdentity = newIdentity;
    }
    if (role != idleRole() || leaderChanged) {
      become(idleRole());
    }
  }

  private RaftRole idleRole() {
    return isVoter() ? RaftRole.FOLLOWER : RaftRole.LEARNER;
  }

  private void become(RaftRole next) {
    role = next;
    roleChanges.add(new RoleChange(next, hard.term(), leader));
  }

  private void onMessage(long now, String name, RaftMessage message) {
    if (message instanceof RaftMessage.VoteRequest m) {
      onVoteRequest(now, name, m);
    } else if (message instanceof RaftMessage.AppendRequest m) {
      onAppend(now, name, m);
    } else if (message instanceof RaftMessage.SnapshotRequest m) {
      onSnapshot(now, name, m);
    } else if (message instanceof RaftMessage.GenesisRequest m) {
      onGenesisRequest(now, name, m);
    } else {
      onReply(now, name, message);
    }
  }

  private void onReply(long now, String name, RaftMessage message) {
    if (message instanceof RaftMessage.VoteReply m && m.preVote() && m.granted()) {
      onVoteReply(now, name, m);
      return;
    }
    if (message.term() > hard.term()) {
      becomeFollower(message.term(), null, null);
      return;
    }
    if (message.term() < hard.term()) {
      return;
    }
    if (message instanceof RaftMessage.VoteReply m) {
      onVoteReply(now, name, m);
    } else if (message instanceof RaftMessage.GenesisReply m) {
      if (m.granted() && log.isEmpty()) {
        genesis.grant(m.term(), name, m.from());
        formFirstConfiguration(now);
      }
    } else if (replication != null) {
      if (message instanceof RaftMessage.AppendReply m) {
        replication.onReply(name, m);
      } else if (message instanceof RaftMessage.SnapshotReply m) {
        replication.onReply(name, m);
      }
    }
  }

  private void onVoteReply(long now, String name, RaftMessage.VoteReply m) {
    RaftRole expected = m.preVote() ? RaftRole.PRE_CANDIDATE : RaftRole.CANDIDATE;
    long expectedTerm = m.preVote() ? hard.term() + 1 : hard.term();
    if (role != expected
        || m.term() != expectedTerm
        || !m.granted()
        || !log.membership().contains(name, m.from())) {
      return;
    }
    votes.add(m.from());
    if (votes.size() < log.membership().quorum()) {
      return;
    }
    if (m.preVote()) {
      startElection(now);
    } else {
      becomeLeader(now);
    }
  }

  private void onVoteRequest(long now, String name, RaftMessage.VoteRequest m) {
    if (!m.to().equals(identity)) {
      return;
    }
    boolean refused = m.term() < hard.term() || hearsLeader(now) || !isUpToDate(m);
    if (m.preVote()) {
      boolean granted = !refused && m.term() > hard.term();
      long term = granted ? m.term() : hard.term();
      send(name, new RaftMessage.VoteReply(term, identity, true, granted));
      return;
    }
    if (m.term() > hard.term() && !hearsLeader(now)) {
      becomeFollower(m.term(), null, null);
    }
    boolean granted =
        !refused
            && m.term() == hard.term()
            && (hard.vote() == null || hard.vote().equals(m.from()));
    if (granted) {
      save(new HardState(hard.term(), m.from()));
      resetElectionDeadline(now);
    }
    send(name, new RaftMessage.VoteReply(hard.term(), identity, false, granted));
  }

  /** Returns whether a leader may rely on this replica not to vote for another. */
  private boolean hearsLeader(long now) {
    return role == RaftRole.LEADER || now - lastLeaderContact < config.electionMinMillis();
  }

  private boolean isUpToDate(RaftMessage.VoteRequest m) {
    long lastTerm = log.lastTerm();
    return m.lastTerm() > lastTerm
        || (m.lastTerm() == lastTerm && m.lastIndex() >= log.lastIndex());
  }

  private void onGenesisRequest(long now, String name, RaftMessage.GenesisRequest m) {
    boolean eligible = log.isEmpty() && name.equals(config.smallestName()) && !hearsLeader(now);
    if (eligible && m.term() > hard.term()) {
      becomeFollower(m.term(), null, null);
    }
    boolean granted =
        eligible
            && m.term() == hard.term()
            && (hard.vote() == null || hard.vote().equals(m.from()));
    if (granted) {
      save(new HardState(hard.term(), m.from()));
    }
    // A replica that is not eligible repeats the term of the request: an empty replica must not
    // adopt the term of a group that it cannot join in this way.
    long term = eligible ? hard.term() : m.term();
    send(name, new RaftMessage.GenesisReply(term, identity, granted));
  }

  /** Accepts the sender of a request as the leader of its term, or answers and returns false. */
  private boolean followLeader(long now, String name, RaftMessage m, String to, long sentAt) {
    if (m.term() < hard.term() || !to.equals(identity)) {
      long term = Math.max(m.term(), hard.term());
      send(name, new RaftMessage.AppendReply(term, identity, false, log.lastIndex() + 1, sentAt));
      return false;
    }
    boolean otherLeader = leaderIdentity != null && !leaderIdentity.equals(m.from());
    check(
        m.term() > hard.term() || !otherLeader,
        "two leaders in term " + m.term() + ": " + leaderIdentity + " and " + m.from());
    becomeFollower(m.term(), name, m.from());
    lastLeaderContact = now;
    resetElectionDeadline(now);
    return true;
  }

  private void onAppend(long now, String name, RaftMessage.AppendRequest m) {
    if (!followLeader(now, name, m, m.to(), m.sentAt())) {
      return;
    }
    long prev = m.prevIndex();
    if (prev > log.lastIndex() || (prev >= commit && log.term(prev) != m.prevTerm())) {
      long hint = prev > log.lastIndex() ? log.lastIndex() + 1 : log.firstIndexOfTerm(prev);
      long index = Math.max(commit + 1, hint);
      send(name, new RaftMessage.AppendReply(hard.term(), identity, false, index, m.sentAt()));
      return;
    }
    appendMissing(m.entries());
    long agreed = prev + m.entries().size();
    commit = Math.max(commit, Math.min(m.commit(), agreed));
    long index = Math.max(agreed, commit);
    send(name, new RaftMessage.AppendReply(hard.term(), identity, true, index, m.sentAt()));
    if (role != idleRole()) {
      become(idleRole());
    }
  }

  private void appendMissing(List<LogEntry> entries) {
    for (int i = 0; i < entries.size(); i++) {
      LogEntry e = entries.get(i);
      long own = e.index() <= log.lastIndex() ? log.term(e.index()) : -1;
      if (own == e.term() || (own < 0 && e.index() <= commit)) {
        continue;
      }
      if (e.index() <= log.lastIndex()) {
        check(e.index() > commit, "committed entry " + e.index() + " would be replaced");
        log.truncateFrom(e.index());
      }
      log.append(entries.subList(i, entries.size()));
      return;
    }
  }

  private void onSnapshot(long now, String name, RaftMessage.SnapshotRequest m) {
    if (!followLeader(now, name, m, m.to(), m.sentAt())) {
      return;
    }
    if (m.index() > commit) {
      Snapshot s = receiver.accept(m);
      if (s == null) {
        send(
            name,
            new RaftMessage.SnapshotReply(
                hard.term(), identity, m.index(), receiver.nextOffset(), m.sentAt()));
        return;
      }
      log.install(s);
      machine.restore(s.data());
      commit = s.index();
      applied = s.index();
      emit(EventCode.SNAPSHOT_INSTALLED, Map.of("index", String.valueOf(s.index())));
      if (role != idleRole()) {
        become(idleRole());
      }
    }
    send(name, new RaftMessage.AppendReply(hard.term(), identity, true, commit, m.sentAt()));
  }

  private void onFlush(long now) {
    log.sync();
    Replication r = replication;
    if (r != null) {
      advanceCommit(r);
    }
    applyCommitted();
    if (r != null) {
      if (r.reconfigure(now, commit)) {
        log.sync();
        advanceCommit(r);
        applyCommitted();
      }
      r.sendEntries(now, commit);
    }
    compact();
  }

  private void advanceCommit(Replication r) {
    long match = r.quorumMatch();
    if (match > commit && log.term(match) == hard.term()) {
      commit = match;
    }
  }

  private void applyCommitted() {
    check(commit <= log.lastIndex(), "commit index " + commit + " is behind the log");
    while (applied < commit) {
      LogEntry e = log.entry(applied + 1);
      byte[] result = NOTHING;
      if (e.type() == EntryType.COMMAND) {
        result = machine.apply(e.index(), e.data());
      } else if (e.type() == EntryType.MEMBERSHIP) {
        noteMembership(e.index());
      }
      applied = e.index();
      proposals.applied(e.index(), result);
    }
  }

  private void noteMembership(long index) {
    Membership before = log.membershipAt(index - 1);
    log.membershipAt(index)
        .members()
        .forEach(
            (name, id) -> {
              if (!before.isEmpty() && !before.contains(name, id)) {
                emit(EventCode.LEARNER_ADMITTED, Map.of("replica", name, "identity", id));
              }
            });
  }

  private void compact() {
    if (applied - log.snapshotIndex() < config.compactAfter()) {
      return;
    }
    Snapshot s =
        new Snapshot(applied, log.term(applied), log.membershipAt(applied), machine.snapshot());
    log.compact(s, config.keepEntries());
    emit(EventCode.SNAPSHOT_WRITTEN, Map.of("index", String.valueOf(applied)));
  }

  private void save(HardState state) {
    hard = state;
    log.save(state);
  }

  private void send(String to, RaftMessage message) {
    messages.add(new RaftOutput.Outbound(to, message));
  }

  private void resetElectionDeadline(long now) {
    electionDeadline =
        now + random.nextLong(config.electionMinMillis(), config.electionMaxMillis());
  }

  private void emit(EventCode code, Map<String, String> fields) {
    events.emit(code, "replica/" + config.self(), fields);
  }

  private static void check(boolean holds, String detail) {
    if (!holds) {
      throw new EbonypondException(ErrorCode.INVARIANT_VIOLATED, detail);
    }
  }
}
