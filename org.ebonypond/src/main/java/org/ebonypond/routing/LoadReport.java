package org.ebonypond.routing;

/**
 * The load that a backend server reported.
 *
 * @param boot the boot identity that reported
 * @param measuredAtMillis when it was measured, in milliseconds of the entry's clock: the time of
 *     arrival less the age that the report had then
 * @param active the requests in execution
 * @param waiting the requests that wait in the backend server
 * @param tokens the tokens still to be processed or produced for both
 */
public record LoadReport(
    String boot, long measuredAtMillis, int active, int waiting, long tokens) {}
