package org.ebonypond.quarantine;

import java.util.List;

/**
 * What a process reports about a request, or a part of prompts, that was among the unanswered
 * requests of crashed instances.
 *
 * @param part the identifier of the request or part
 * @param idleMillis the time since a request with the part last arrived or crashed an instance, in
 *     milliseconds
 * @param crashes the crashes, at most {@link SuspicionTable#MAX_CRASHES}
 * @param begun the number of answers that instances have begun to write on the part
 * @param blocked whether an entry has found that chance does not explain the crashes
 * @param wholeRequest whether a request with all its repetitions is suspected, not a part of
 *     prompts
 */
public record PartSuspicion(
    long part,
    long idleMillis,
    List<Crash> crashes,
    long begun,
    boolean blocked,
    boolean wholeRequest) {
  /**
   * The crash of an instance.
   *
   * @param id the identifier of the crash, the same in all processes
   * @param ageMillis the time since the crash, in milliseconds
   * @param endedRate the fraction of the requests without the part that instances ended at that
   *     time, 0 to 1: the probability of the crash if the part is harmless
   */
  public record Crash(long id, long ageMillis, double endedRate) {}
}
