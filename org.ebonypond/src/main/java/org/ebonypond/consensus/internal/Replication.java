package org.ebonypond.consensus.internal;

import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.consensus.RaftConfig;
import org.ebonypond.consensus.RaftMessage;
import org.ebonypond.consensus.Snapshot;
import org.jspecify.annotations.Nullable;

/** The state of a leader in one term: the replication progress of every other replica. */
public final class Replication {
  /** Maximum number of entries by which a learner may lag to be admitted as a voter. */
  private static final long ADMISSION_LAG = 100;

  /**
   * The number of minimum election timeouts without a quorum after which a leader without a lease
   * steps down. It neither confirms nor commits anything meanwhile, and a leader that steps down
   * because its followers are busy only causes an election, which makes them busier.
   */
  private static final long LEASELESS_QUORUM_TIMEOUTS = 4;

  private final RaftConfig config;
  private final RaftLog log;
  private final long term;
  private final BiConsumer<String, RaftMessage> out;
  private final Map<String, Progress> peers = new TreeMap<>();
  private final long termStart;
  private final long firstIndex;
  private long nextHeartbeat;

  /**
   * Starts a leader's term; its first entry must be the last of the log. The first heartbeat is due
   * immediately.
   *
   * @param names the other replicas that are known
   * @param out receives each message with the name of its receiver
   */
  public Replication(
      RaftConfig config,
      Set<String> names,
      RaftLog log,
      long term,
      BiConsumer<String, RaftMessage> out,
      long now) {
    this.config = config;
    this.log = log;
    this.term = term;
    this.out = out;
    this.nextHeartbeat = now;
    this.termStart = now;
    this.firstIndex = log.lastIndex();
    names.forEach(this::addPeer);
  }

  /** Starts to replicate to another replica. */
  public void addPeer(String name) {
    String identity = log.membership().identityOf(name);
    peers.putIfAbsent(name, new Progress(identity, log.lastIndex() + 1));
  }

  /** Sends a heartbeat to every replica if it is due; a slow one gets fewer. */
  public void heartbeat(long now, long commit) {
    if (now < nextHeartbeat) {
      return;
    }
    nextHeartbeat = now + config.heartbeatMillis();
    peers.forEach(
        (name, p) -> {
          if (!isHeartbeatDue(p, now)) {
            return;
          }
          p.heartbeatAt = now;
          if (p.inFlightIndex >= 0 && now - p.inFlightSince >= 2 * config.heartbeatMillis()) {
            p.inFlightIndex = -1;
          }
          send(name, p, now, commit, true);
        });
  }

  /**
   * Returns whether to send a heartbeat now. A replica that is too busy to answer gets one each
   * half of the election timeout, which still prevents its election: more would wait in its queue,
   * and their answers in the queue of this one, before the entries. A lease needs all of them.
   */
  private boolean isHeartbeatDue(Progress p, long now) {
    long pause = config.electionMinMillis() / 2;
    boolean answers = p.ackedSentAt != Long.MIN_VALUE && now - p.ackedSentAt < pause;
    return config.leaderLease()
        || answers
        || p.heartbeatAt == Long.MIN_VALUE
        || now - p.heartbeatAt >= pause;
  }

  /** Sends new entries to every replica that has acknowledged the previous ones. */
  public void sendEntries(long now, long commit) {
    peers.forEach((name, p) -> send(name, p, now, commit, false));
  }

  private void send(String name, Progress p, long now, long commit, boolean heartbeat) {
    boolean identityKnown = !p.identity.isEmpty();
    boolean compacted = p.next < log.firstIndex() || log.term(p.next - 1) < 0;
    if (identityKnown && p.inFlightIndex < 0 && p.snapshot == null && compacted) {
      p.snapshot = log.snapshot();
      p.offset = 0;
    }
    if (identityKnown && p.inFlightIndex < 0 && p.snapshot != null) {
      sendPart(name, p, p.snapshot, now);
      return;
    }
    boolean sendsEntries =
        identityKnown && p.inFlightIndex < 0 && p.snapshot == null && p.next <= log.lastIndex();
    if (!sendsEntries && !heartbeat) {
      return;
    }
    // A heartbeat to a replica that is receiving a snapshot uses an index that the log still
    // contains; its reply does not change the position.
    long prev = compacted ? log.lastIndex() : p.next - 1;
    List<LogEntry> batch =
        sendsEntries ? log.slice(p.next, log.lastIndex(), config.maxBatchBytes()) : List.of();
    if (!batch.isEmpty()) {
      p.inFlightIndex = prev + batch.size();
      p.inFlightSince = now;
    }
    out.accept(
        name,
        new RaftMessage.AppendRequest(
            term, log.identity(), p.identity, prev, log.term(prev), commit, now, batch));
  }

  private void sendPart(String name, Progress p, Snapshot s, long now) {
    int end = Math.min(s.data().length, p.offset + config.chunkBytes());
    p.inFlightIndex = s.index();
    p.inFlightSince = now;
    out.accept(
        name,
        new RaftMessage.SnapshotRequest(
            term,
            log.identity(),
            p.identity,
            s.index(),
            s.term(),
            s.membership(),
            p.offset,
            s.data().length,
            Arrays.copyOfRange(s.data(), p.offset, end),
            now));
  }

  /** Handles the reply to an append request or to the last part of a snapshot. */
  public void onReply(String name, RaftMessage.AppendReply r) {
    Progress p = peers.get(name);
    if (p == null) {
      return;
    }
    if (!p.identity.equals(r.from())) {
      // The replica's data folder is not the expected one: it lost its disk and is a learner.
      peers.put(
          name, new Progress(r.from(), Math.min(Math.max(1, r.index()), log.lastIndex() + 1)));
      return;
    }
    p.ackedSentAt = Math.max(p.ackedSentAt, r.sentAt());
    if (!r.success()) {
      if (p.snapshot == null) {
        p.next = Math.max(1, Math.min(r.index(), log.lastIndex() + 1));
        p.match = Math.min(p.match, p.next - 1);
        p.inFlightIndex = -1;
      }
      return;
    }
    p.match = Math.max(p.match, r.index());
    p.next = Math.max(p.next, p.match + 1);
    if (p.inFlightIndex >= 0 && p.match >= p.inFlightIndex) {
      p.inFlightIndex = -1;
    }
    if (p.snapshot != null && p.match >= p.snapshot.index()) {
      p.snapshot = null;
    }
  }

  /** Handles the reply to a part of a snapshot other than the last one. */
  public void onReply(String name, RaftMessage.SnapshotReply r) {
    Progress p = peers.get(name);
    if (p == null || !p.identity.equals(r.from())) {
      return;
    }
    p.ackedSentAt = Math.max(p.ackedSentAt, r.sentAt());
    Snapshot s = p.snapshot;
    if (s != null && s.index() == r.index() && r.nextOffset() <= s.data().length) {
      p.offset = r.nextOffset();
      p.inFlightIndex = -1;
    }
  }

  /**
   * Commits entries that are durable on a quorum. Entries of earlier terms are committed only
   * together with one of this term; otherwise a later leader could still replace them.
   */
  public void advanceCommit(Applier applier) {
    long match = quorumValue(log.durableIndex(), true);
    if (match > applier.commit() && log.term(match) == term) {
      applier.commitTo(match);
    }
  }

  /** Returns whether no quorum has replied for so long that this leader must step down. */
  public boolean hasLostQuorum(long now) {
    long timeout =
        config.leaderLease()
            ? config.electionMinMillis()
            : LEASELESS_QUORUM_TIMEOUTS * config.electionMinMillis();
    return now - Math.max(termStart, quorumContact(now)) >= timeout;
  }

  /** Returns the end of the lease, see {@link org.ebonypond.consensus.RaftNode#leaseHeldUntil}. */
  public long leaseHeldUntil(long now, long applied) {
    long contact = confirmedAt(now, applied);
    return contact == Long.MIN_VALUE ? contact : contact + config.electionMinMillis() * 9 / 10;
  }

  /** See {@link org.ebonypond.consensus.RaftNode#confirmedAt}. */
  public long confirmedAt(long now, long applied) {
    return applied < firstIndex ? Long.MIN_VALUE : quorumContact(now);
  }

  /** Returns the latest time such that a quorum has answered a request sent then or later. */
  private long quorumContact(long now) {
    return quorumValue(now, false);
  }

  /**
   * Returns the highest value that a quorum has reached.
   *
   * @param own the value of this replica
   * @param ofMatch whether to compare match indexes; otherwise the send times of answered requests
   */
  private long quorumValue(long own, boolean ofMatch) {
    Membership m = log.membership();
    long[] values =
        m.members().entrySet().stream()
            .mapToLong(e -> valueOf(e.getKey(), e.getValue(), own, ofMatch))
            .sorted()
            .toArray();
    return values[values.length - m.quorum()];
  }

  private long valueOf(String name, String identity, long own, boolean ofMatch) {
    if (name.equals(config.self())) {
      return own;
    }
    Progress p = peers.get(name);
    if (p == null || !p.identity.equals(identity)) {
      return ofMatch ? 0 : Long.MIN_VALUE;
    }
    return ofMatch ? p.match : p.ackedSentAt;
  }

  /**
   * Changes at most one voter, so that quorums of consecutive memberships overlap. A learner that
   * has caught up replaces the old identity of its own name in two changes: removing the old
   * identity, then adding the new one. A single change would allow disjoint quorums, for example
   * {a, b1} of {a, b1, c} and {b2, c} of {a, b2, c}. A learner with a new name is added while a
   * voter is missing or does not reply; such a voter is removed once there are more voters than the
   * target.
   *
   * @param now the time in milliseconds
   * @param commit the commit index
   */
  public void reconfigure(long now, long commit) {
    if (log.membershipIndex() > commit || log.term(commit) != term) {
      return;
    }
    Membership next = nextMembership(now, log.membership());
    if (next != null) {
      log.append(term, EntryType.MEMBERSHIP, RaftCodec.encodeMembership(next));
    }
  }

  private @Nullable Membership nextMembership(long now, Membership m) {
    int voters = m.members().size();
    String silent = silentVoter(now, m);
    for (Map.Entry<String, Progress> e : peers.entrySet()) {
      String name = e.getKey();
      Progress p = e.getValue();
      if (!isCaughtUp(now, p) || m.contains(name, p.identity)) {
        continue;
      }
      if (!m.identityOf(name).isEmpty()) {
        return m.without(name);
      }
      if (voters < config.targetVoters() || (silent != null && voters == config.targetVoters())) {
        return m.with(name, p.identity);
      }
    }
    return silent != null && voters > config.targetVoters() ? m.without(silent) : null;
  }

  private boolean isCaughtUp(long now, Progress p) {
    return !p.identity.isEmpty()
        && p.match > 0
        && p.match + ADMISSION_LAG >= log.lastIndex()
        && p.ackedSentAt != Long.MIN_VALUE
        && now - p.ackedSentAt < config.electionMinMillis();
  }

  /** Returns a voter that has not replied for {@code replaceAfterMillis}, or null. */
  private @Nullable String silentVoter(long now, Membership m) {
    if (now - termStart < config.replaceAfterMillis()) {
      return null;
    }
    for (Map.Entry<String, String> e : m.members().entrySet()) {
      long contact = valueOf(e.getKey(), e.getValue(), now, false);
      if (contact == Long.MIN_VALUE || now - contact >= config.replaceAfterMillis()) {
        return e.getKey();
      }
    }
    return null;
  }
}
