package org.ebonypond.consensus;

import java.util.Collections;
import java.util.List;

/**
 * The settings of one replica of a group.
 *
 * @param self the name of this replica
 * @param replicas the names of the replicas that form the first configuration; a replica that joins
 *     later is not among them
 * @param heartbeatMillis the time between two heartbeats of a leader, in milliseconds
 * @param electionMinMillis the shortest election timeout, in milliseconds; also the time without
 *     contact to a quorum after which a leader steps down
 * @param electionMaxMillis the longest election timeout, in milliseconds
 * @param compactAfter the number of applied entries after which a snapshot replaces them
 * @param keepEntries the number of entries before a snapshot that stay readable
 * @param maxBatchBytes the size in bytes after which an append message takes no further entry
 * @param chunkBytes the largest part of a snapshot in one message, in bytes
 * @param targetVoters the number of voters up to which caught-up learners are admitted
 * @param replaceAfterMillis the silence, in milliseconds, after which a voter is removed when there
 *     are more voters than wanted
 * @param leaderLease whether the lease of a leader is relied upon; a restarted replica then refuses
 *     votes for one election timeout
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

  /** Longer than the pause of a process that is restarted, so that a restart replaces nobody. */
  private static final long REPLACE_AFTER_MILLIS = 3_000;

  /** Checks and copies the values. */
  public RaftConfig {
    replicas = List.copyOf(replicas);
    if (self.isEmpty() || replicas.isEmpty() || targetVoters < 1) {
      throw new IllegalArgumentException("no name, no replicas or no voters");
    }
    if (heartbeatMillis <= 0 || electionMinMillis <= 2 * heartbeatMillis) {
      throw new IllegalArgumentException("the election timeout must exceed two heartbeats");
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

  /** Returns the settings of the design page. */
  public static RaftConfig standard(String self, List<String> replicas) {
    return new RaftConfig(self, replicas, 100, 500, 1000, 10_000, 1_000, MEGABYTE, MEGABYTE);
  }

  /** Returns the smallest replica name, whose replica forms the first configuration. */
  public String smallestName() {
    return Collections.min(replicas);
  }
}
