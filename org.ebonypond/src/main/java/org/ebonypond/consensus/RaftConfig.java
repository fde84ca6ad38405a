package org.ebonypond.consensus;

import java.util.Collections;
import java.util.List;

/**
 * The settings of one replica of a Raft group.
 *
 * @param self the name of this replica
 * @param replicas the names of the replicas that form the first membership; a replica that joins
 *     later is not among them
 * @param heartbeatMillis the time between two heartbeats of a leader, in milliseconds
 * @param electionMinMillis the minimum election timeout, in milliseconds; a leader with a lease
 *     that has had no contact with a quorum for this long steps down
 * @param electionMaxMillis the maximum election timeout, in milliseconds
 * @param compactAfter the number of applied entries after which a snapshot replaces them
 * @param keepEntries the number of entries before a snapshot that stay readable
 * @param maxBatchBytes the size in bytes from which no further entry is added to an append message
 * @param chunkBytes the maximum part of a snapshot in one message, in bytes
 * @param targetVoters the number of voters up to which caught-up learners are admitted
 * @param replaceAfterMillis the time without a reply, in milliseconds, after which a voter is
 *     replaced
 * @param leaderLease whether leaders use leases; if so, a restarted replica refuses votes for one
 *     election timeout
 */
public record RaftConfig(
    String self,
    List<String> replicas,
    long heartbeatMillis,
    long electionMinMillis,
    long electionMaxMillis,
    int compactAfter,
    int keepEntries,
    int maxBatchBytes,
    int chunkBytes,
    int targetVoters,
    long replaceAfterMillis,
    boolean leaderLease) {
  private static final int MEGABYTE = 1 << 20;

  /** Longer than the restart of a process takes, so that a restart does not replace a voter. */
  private static final long REPLACE_AFTER_MILLIS = 3_000;

  /** Checks and copies the values. */
  public RaftConfig {
    replicas = List.copyOf(replicas);
    if (self.isEmpty() || replicas.isEmpty() || targetVoters < 1) {
      throw new IllegalArgumentException(
          "self and replicas must not be empty, and targetVoters must be positive");
    }
    if (heartbeatMillis <= 0 || electionMinMillis <= 2 * heartbeatMillis) {
      throw new IllegalArgumentException(
          "the election timeout must exceed two heartbeat intervals");
    }
    if (electionMaxMillis <= electionMinMillis || compactAfter <= 0 || keepEntries < 0) {
      throw new IllegalArgumentException("election timeout or compaction out of range");
    }
    if (maxBatchBytes <= 0 || chunkBytes <= 0 || chunkBytes > MEGABYTE) {
      throw new IllegalArgumentException("message size out of range");
    }
  }

  /** Creates the settings of a group whose voters are exactly its configured replicas. */
  public RaftConfig(
      String self,
      List<String> replicas,
      long heartbeatMillis,
      long electionMinMillis,
      long electionMaxMillis,
      int compactAfter,
      int keepEntries,
      int maxBatchBytes,
      int chunkBytes) {
    this(
        self,
        replicas,
        heartbeatMillis,
        electionMinMillis,
        electionMaxMillis,
        compactAfter,
        keepEntries,
        maxBatchBytes,
        chunkBytes,
        replicas.size(),
        REPLACE_AFTER_MILLIS,
        true);
  }

  /** Returns the default settings. */
  public static RaftConfig standard(String self, List<String> replicas) {
    return new RaftConfig(self, replicas, 100, 500, 1000, 10_000, 1_000, MEGABYTE, MEGABYTE);
  }

  /** Returns the lowest replica name; the replica with it forms the first membership. */
  public String lowestName() {
    return Collections.min(replicas);
  }
}
