package org.ebonypond.server.control;

/**
 * The load of a backend server as its announcement reported it.
 *
 * @param instance the instance's name
 * @param boot the boot identity
 * @param ready whether the instance announced that it can serve
 * @param ageMillis the age of the measurement in milliseconds when this record was sent
 * @param announcedAgoMillis the age of the announcement in milliseconds when this record was sent
 * @param active the requests in execution
 * @param waiting the requests that wait in the backend server
 * @param tokens the tokens still to be processed or produced
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

  /** Returns a copy that is older by a time in milliseconds. */
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
