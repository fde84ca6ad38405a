package org.ebonypond.server.control;

/**
 * The load that a backend server reported in an announcement.
 *
 * @param instance the instance's name
 * @param boot the boot identity
 * @param ready whether the instance announced that it is ready
 * @param ageMillis the age of the measurement in milliseconds when this record was sent
 * @param announcedAgoMillis the age of the announcement in milliseconds when this record was sent
 * @param active the number of running requests
 * @param waiting the number of requests queued in the backend server
 * @param tokens the number of tokens still to be processed or generated
 */
public record ReportedLoad(
    String instance,
    String boot,
    boolean ready,
    long ageMillis,
    long announcedAgoMillis,
    int active,
    int waiting,
    long tokens) {

  /** Returns a copy whose ages are higher by a number of milliseconds. */
  public ReportedLoad olderBy(long millis) {
    return new ReportedLoad(
        instance,
        boot,
        ready,
        ageMillis + millis,
        announcedAgoMillis + millis,
        active,
        waiting,
        tokens);
  }
}
