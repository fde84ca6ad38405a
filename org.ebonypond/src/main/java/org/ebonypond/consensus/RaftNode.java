package org.ebonypond.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.internal.Applier;
import org.ebonypond.consensus.internal.Ballot;
import org.ebonypond.consensus.internal.ElectionTimer;
import org.ebonypond.consensus.internal.Genesis;
import org.ebonypond.consensus.internal.KnownLeader;
import org.ebonypond.consensus.internal.LogReceiver;
import org.ebonypond.consensus.internal.Outbox;
import org.ebonypond.consensus.internal.Proposals;
import org.ebonypond.consensus.internal.RaftLog;
import org.ebonypond.consensus.internal.Replication;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.jspecify.annotations.Nullable;

/**
 * One replica of a replicated log (Raft with pre-vote, check-quorum, learners and snapshots). Not
 * thread-safe; uses no thread, socket, file or clock of its own. Times are monotonic milliseconds.
 *
 * <p>A driver passes in ticks, messages and proposals, then calls {@link #advance} and sends its
 * output, which contains only what may be sent now. It then calls {@link #beginSync}, runs the sync
 * on any thread, and calls {@link #syncEnded}; meanwhile it continues with ticks, messages and
 * proposals. {@link #flush} does all of this on one thread.
 *
 * <p>A failure is thrown and is fatal: every later call throws it again.
 */
public final class RaftNode {
  private static final byte[] NO_DATA = {};

  private final RaftConfig config;
  private final EventSink events;
  private final RaftLog log;
  private final String identity;
  private final Proposals proposals = new Proposals();
  private final Genesis genesis;
  private final Ballot ballot;
  private final Applier applier;
  private final LogReceiver receiver;
  private final Outbox outbox;
  private final ElectionTimer timer;
  private final KnownLeader leader = new KnownLeader();
  private final Set<String> peers = new TreeSet<>();

  private RaftRole role = RaftRole.FOLLOWER;
  private @Nullable Replication replication;
  private @Nullable RuntimeException failure;
  private long lastNow;
  private boolean heardFromPeer;
  private List<RoleChange> roleChanges = new ArrayList<>();
  private @Nullable RoleChange lastChange;

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
    this.events = events;
    config.replicas().forEach(this::addPeer);
    this.log = new RaftLog(storage);
    this.identity = storage.identity();
    this.ballot = new Ballot(log, storage.hardState());
    this.genesis = new Genesis(config, log, ballot);
    this.applier = new Applier(config, log, machine, proposals, events);
    this.receiver = new LogReceiver(log, applier);
    this.outbox = new Outbox(log);
    this.lastNow = now;
    // After a restart the time of the last leader contact is unknown, and that leader may still
    // hold its lease. The replica therefore refuses votes for one election timeout, unless it has
    // no term and thus had no leader.
    boolean mayHaveLeader = ballot.term() > 0 && config.leaderLease();
    long lastContact = mayHaveLeader ? now : now - config.electionMaxMillis();
    this.timer = new ElectionTimer(config, random, lastContact, now);
    if (ballot.term() > 0 && !config.leaderLease()) {
      // The pre-vote does not disturb a leader that still exists.
      timer.resetSoon(now);
    }
    become(idleRole());
  }

  /** Runs timeouts that are due; must be called at least every few milliseconds. */
  public void tick(long now) {
    guarded(now, () -> onTick(now));
  }

  /**
   * Handles a message; messages of unknown replicas are ignored.
   *
   * @param fromName the name of the sending replica
   */
  public void receive(long now, String fromName, RaftMessage message) {
    if (!peers.contains(fromName) && log.membership().identityOf(fromName).isEmpty()) {
      return;
    }
    heardFromPeer = true;
    guarded(now, () -> onMessage(now, fromName, message));
  }

  /**
   * Adds a replica that may join. A leader replicates to it and admits it as a voter when a voter
   * is missing.
   */
  public void discover(String name) {
    if (addPeer(name) && replication != null) {
      replication.addPeer(name);
    }
  }

  private boolean addPeer(String name) {
    return !name.equals(config.self()) && peers.add(name);
  }

  /**
   * Proposes a command; the result is part of a later output.
   *
   * @param proposalId an identifier that is unique among the pending proposals of this replica
   * @param command the encoded command
   */
  public void propose(long now, long proposalId, byte[] command) {
    guarded(
        now,
        () -> {
          if (role != RaftRole.LEADER) {
            proposals.refuse(proposalId, leader.name());
            return;
          }
          LogEntry e = log.append(ballot.term(), EntryType.COMMAND, command);
          proposals.add(e.index(), proposalId);
        });
  }

  /** Applies committed entries and returns the output that need not wait for a further sync. */
  public RaftOutput advance(long now) {
    guarded(now, () -> onAdvance(now));
    RaftOutput output = new RaftOutput(outbox.drain(), proposals.drain(), roleChanges);
    roleChanges = new ArrayList<>();
    return output;
  }

  /**
   * Begins a sync of all changes up to now; the caller runs it once, on any thread, and then calls
   * {@link #syncEnded} or {@link #syncFailed}.
   *
   * @return the sync, or null if there are no changes or a sync is running
   */
  public @Nullable Runnable beginSync() {
    Runnable[] sync = new Runnable[1];
    guarded(lastNow, () -> sync[0] = log.beginSync());
    return sync[0];
  }

  /** Handles the successful end of the sync that was begun last. */
  public void syncEnded(long now) {
    guarded(now, () -> onSyncEnded(now));
  }

  /** Handles the failure of the sync that was begun last, which is fatal. */
  public void syncFailed(RuntimeException cause) {
    failure = failure == null ? cause : failure;
  }

  /** Advances, and syncs on this thread as long as there are changes. */
  public RaftOutput flush(long now) {
    RaftOutput output = advance(now);
    for (Runnable sync = beginSync(); sync != null; sync = beginSync()) {
      guarded(now, sync);
      syncEnded(now);
      output = output.followedBy(advance(now));
    }
    return output;
  }

  /** Returns the role after the last call. */
  public RaftRole role() {
    return role;
  }

  /** Returns whether this replica was the leader after the last call. */
  public boolean isLeader() {
    return role == RaftRole.LEADER;
  }

  /** Returns the name of the presumed leader, or null. */
  public @Nullable String leaderHint() {
    return leader.name();
  }

  /** Returns the current term. */
  public long term() {
    return ballot.term();
  }

  /** Returns the identity of the data folder. */
  public String identity() {
    return identity;
  }

  /** Returns the index of the last entry that is durable on this replica. */
  public long lastDurableIndex() {
    return log.durableIndex();
  }

  /** Returns whether this replica is a voter in its latest membership. */
  public boolean isVoter() {
    return log.membership().contains(config.self(), identity);
  }

  /** Returns the latest membership. */
  public Membership membership() {
    return log.membership();
  }

  /** Returns the log index of the latest membership, or 0 if there is none. */
  public long membershipIndex() {
    return log.membershipIndex();
  }

  /** Returns the last index that is known to be committed. */
  public long commitIndex() {
    return applier.commit();
  }

  /** Returns the last index that was applied to the state machine. */
  public long appliedIndex() {
    return applier.applied();
  }

  /**
   * Returns the end of the leader's lease, until which no other replica can become leader and this
   * replica may act as the leader and serve reads of its state machine; {@code Long.MIN_VALUE} if
   * it may not. A tenth of the election timeout is reserved for clocks that run at different rates.
   */
  public long leaseHeldUntil() {
    Replication r = replication;
    return r == null ? Long.MIN_VALUE : r.leaseHeldUntil(lastNow, applier.applied());
  }

  /** Returns whether this replica may act as the leader at a time. */
  public boolean mayLead(long now) {
    return now < leaseHeldUntil();
  }

  /**
   * Returns the latest time at which this replica was certainly the only leader, in milliseconds;
   * {@code Long.MIN_VALUE} if it is not the leader or has not applied the entries of earlier
   * leaders. Its state machine contains every command that was acknowledged before that time.
   */
  public long confirmedAt() {
    Replication r = replication;
    return r == null ? Long.MIN_VALUE : r.confirmedAt(lastNow, applier.applied());
  }

  /**
   * Returns committed entries, for processes that are not replicas.
   *
   * @param index the last index that the reader has
   * @param max the maximum number of entries
   */
  public CommittedEntries entriesAfter(long index, int max) {
    return applier.entriesAfter(index, max);
  }

  private void guarded(long now, Runnable action) {
    if (failure != null) {
      throw failure;
    }
    try {
      lastNow = Math.max(lastNow, now);
      checkQuorum(now);
      action.run();
    } catch (RuntimeException e) {
      failure = e;
      if (e instanceof EbonypondException x && x.code() == ErrorCode.INVARIANT_VIOLATED) {
        emit(EventCode.INVARIANT_VIOLATED, Map.of("detail", String.valueOf(e.getMessage())));
      }
      throw e;
    }
  }

  /** Steps down if this leader lost contact with a quorum or was frozen. */
  private void checkQuorum(long now) {
    Replication r = replication;
    if (r != null && r.hasLostQuorum(now)) {
      becomeFollower(ballot.term(), null, "");
      timer.reset(now);
    }
  }

  private void onTick(long now) {
    if (replication != null) {
      replication.heartbeat(now, applier.commit());
      return;
    }
    if (!timer.isDue(now)) {
      if (role == RaftRole.CANDIDATE && timer.isRepeatDue(now)) {
        timer.resetRepeat(now);
        ballot.requestVotes(false, this::send);
      }
      return;
    }
    if (role == RaftRole.CANDIDATE) {
      timer.onElectionLost();
    }
    if (config.leaderLease() || heardFromPeer) {
      timer.reset(now);
    } else {
      // The other replicas may be starting as well, and messages to them are lost until they
      // listen.
      timer.resetSoon(now);
    }
    if (!log.isHardStateDurable()) {
      // Another election could not send any messages, so it would only increase the term.
      return;
    }
    leader.clear();
    if (log.isEmpty() && !leader.everKnown()) {
      startGenesis(now);
    } else if (isVoter()) {
      startPreVote(now);
    }
  }

  private void startGenesis(long now) {
    RaftMessage m = genesis.start();
    if (m != null) {
      config.replicas().stream().filter(n -> !n.equals(config.self())).forEach(n -> send(n, m));
      formFirstMembership(now);
    }
  }

  private void formFirstMembership(long now) {
    Membership m = genesis.membership();
    if (m != null) {
      log.append(ballot.term(), EntryType.MEMBERSHIP, RaftCodec.encodeMembership(m));
      becomeLeader(now);
    }
  }

  private void startPreVote(long now) {
    become(RaftRole.PRE_CANDIDATE);
    ballot.resetVotes();
    ballot.requestVotes(true, this::send);
    if (ballot.isWon()) {
      startElection(now);
    }
  }

  private void startElection(long now) {
    ballot.startTerm();
    leader.clear();
    become(RaftRole.CANDIDATE);
    timer.resetForCandidate(now);
    ballot.resetVotes();
    ballot.requestVotes(false, this::send);
    if (ballot.isWon()) {
      becomeLeader(now);
    }
  }

  private void becomeLeader(long now) {
    leader.set(ballot.term(), config.self(), identity);
    timer.onElectionWon();
    log.append(ballot.term(), EntryType.NOOP, NO_DATA);
    log.membership().members().keySet().forEach(this::addPeer);
    replication = new Replication(config, peers, log, ballot.term(), this::send, now);
    become(RaftRole.LEADER);
    emit(EventCode.LEADER_ELECTED, Map.of("term", String.valueOf(ballot.term())));
    replication.heartbeat(now, applier.commit());
  }

  private void becomeFollower(long term, @Nullable String newLeader, String leaderIdentity) {
    if (term > ballot.term()) {
      ballot.raise(term);
      leader.clear();
    }
    if (role == RaftRole.LEADER) {
      emit(EventCode.LEADER_STEPPED_DOWN, Map.of("term", String.valueOf(ballot.term())));
      replication = null;
      leader.clear();
      proposals.abandon(newLeader);
    }
    if (newLeader != null) {
      leader.set(ballot.term(), newLeader, leaderIdentity);
    }
    become(idleRole());
  }

  private RaftRole idleRole() {
    return isVoter() ? RaftRole.FOLLOWER : RaftRole.LEARNER;
  }

  private void become(RaftRole next) {
    role = next;
    RoleChange change = new RoleChange(next, ballot.term(), leader.name());
    if (!change.equals(lastChange)) {
      lastChange = change;
      roleChanges.add(change);
    }
  }

  private void onMessage(long now, String name, RaftMessage message) {
    if (message instanceof RaftMessage.VoteRequest m) {
      onVoteRequest(now, name, m);
    } else if (message instanceof RaftMessage.AppendRequest m) {
      if (followLeader(now, name, m, m.to(), m.sentAt())) {
        outbox.acknowledge(name, receiver.append(ballot.term(), m));
      }
    } else if (message instanceof RaftMessage.SnapshotRequest m) {
      if (followLeader(now, name, m, m.to(), m.sentAt())) {
        send(name, receiver.snapshot(ballot.term(), m));
      }
    } else if (message instanceof RaftMessage.GenesisRequest m) {
      send(name, genesis.reply(name, m, hasLeaderContact(now)));
    } else {
      onReply(now, name, message);
    }
  }

  private void onReply(long now, String name, RaftMessage message) {
    if (message instanceof RaftMessage.VoteReply m && m.preVote() && m.granted()) {
      onVoteReply(now, name, m);
      return;
    }
    if (message.term() > ballot.term()) {
      becomeFollower(message.term(), null, "");
      return;
    }
    if (message.term() < ballot.term()) {
      return;
    }
    if (message instanceof RaftMessage.VoteReply m) {
      onVoteReply(now, name, m);
    } else if (message instanceof RaftMessage.GenesisReply m) {
      genesis.grant(name, m);
      formFirstMembership(now);
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
    long expectedTerm = m.preVote() ? ballot.term() + 1 : ballot.term();
    if (role != expected
        || m.term() != expectedTerm
        || !m.granted()
        || !log.membership().contains(name, m.from())) {
      return;
    }
    ballot.addVote(m.from());
    if (!ballot.isWon()) {
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
    String refusal = refusal(now, m);
    boolean refused = !refusal.isEmpty();
    if (refused) {
      emit(
          EventCode.VOTE_REFUSED,
          Map.of(
              "candidate",
              name,
              "term",
              String.valueOf(m.term()),
              "pre_vote",
              String.valueOf(m.preVote()),
              "reason",
              refusal));
    }
    if (m.preVote()) {
      boolean granted = !refused && m.term() > ballot.term();
      long term = granted ? m.term() : ballot.term();
      if (granted) {
        postponeElection(now, name);
      }
      send(name, new RaftMessage.VoteReply(term, identity, true, granted));
      return;
    }
    if (m.term() > ballot.term() && !hasLeaderContact(now)) {
      becomeFollower(m.term(), null, "");
    }
    boolean granted = !refused && m.term() == ballot.term() && ballot.voteFor(m.from());
    if (granted) {
      timer.reset(now);
    }
    send(name, new RaftMessage.VoteReply(ballot.term(), identity, false, granted));
  }

  /** Returns why a vote must be refused, or an empty text. */
  private String refusal(long now, RaftMessage.VoteRequest m) {
    if (m.term() < ballot.term()) {
      return "term " + ballot.term() + " is later";
    }
    if (hasLeaderContact(now)) {
      return "a leader may hold its lease";
    }
    return log.isCoveredBy(m.lastIndex(), m.lastTerm())
        ? ""
        : "the log ends at " + m.lastIndex() + ", this one at " + log.lastIndex();
  }

  /**
   * Postpones this replica's election after it granted a pre-vote. Otherwise two replicas often ask
   * for votes in the same term and neither wins: with message delays of 100 ms, elections failed
   * several times in a row. Of two simultaneous pre-candidates, the one with the lower name
   * continues.
   */
  private void postponeElection(long now, String name) {
    if (role == RaftRole.PRE_CANDIDATE && config.self().compareTo(name) < 0) {
      return;
    }
    timer.reset(now);
    if (role == RaftRole.PRE_CANDIDATE) {
      become(idleRole());
    }
  }

  /** Returns whether this replica must not vote because a leader may hold its lease. */
  private boolean hasLeaderContact(long now) {
    return role == RaftRole.LEADER || timer.hasLeaderContact(now);
  }

  /** Follows the sender of a request as the leader of its term, or rejects it and returns false. */
  private boolean followLeader(long now, String name, RaftMessage m, String to, long sentAt) {
    if (m.term() < ballot.term() || !to.equals(identity)) {
      long term = Math.max(m.term(), ballot.term());
      send(name, new RaftMessage.AppendReply(term, identity, false, log.lastIndex() + 1, sentAt));
      return false;
    }
    becomeFollower(m.term(), name, m.from());
    timer.onLeaderContact(now);
    return true;
  }

  private void onSyncEnded(long now) {
    log.syncEnded();
    outbox.release(ballot.term());
    if (role == RaftRole.CANDIDATE) {
      // The vote requests had to wait for the sync of the term, so the timeout starts now.
      timer.resetForCandidate(now);
    }
  }

  private void onAdvance(long now) {
    Replication r = replication;
    if (r != null) {
      r.advanceCommit(applier);
    }
    applier.applyCommitted();
    if (r != null) {
      r.reconfigure(now, applier.commit());
      r.sendEntries(now, applier.commit());
    }
    if (!log.isSyncing()) {
      log.saveCommittedHint(applier.commit());
    }
    applier.compact();
    // The membership may have changed.
    if (role == RaftRole.FOLLOWER || role == RaftRole.LEARNER) {
      become(idleRole());
    }
  }

  private void send(String to, RaftMessage message) {
    outbox.add(to, message);
  }

  private void emit(EventCode code, Map<String, String> fields) {
    events.emit(code, "replica/" + config.self(), fields);
  }
}
