package org.ebonypond.routing;

/**
 * The load of a backend server as it reported it.
 *
 * @param boot the boot identity of the backend server
 * @param measuredAtMillis when the load was measured, in milliseconds of the entry's clock: the
 *     time of arrival minus the age of the report on arrival
 * @param active the requests in execution
 * @param waiting the requests in the backend server's queue
 * @param tokens the tokens still to be processed or produced for both
 */
public record LoadReport(
    String boot, long measuredAtMillis, int active, int waiting, long tokens) {}
