package org.ebonypond.bench.experiment;

/**
 * A kind of request, as the product's users have them.
 *
 * @param name the name in reports
 * @param small whether it goes to the smaller model
 * @param perSecond the usual requests in a second
 * @param promptTokens the mean tokens of a prompt
 * @param events the mean events of an answer
 * @param targetMillis the time to the first event that counts as on time, in milliseconds
 * @param gapMillis the longest pause between two events that counts as on time, in milliseconds
 * @param deadlineMillis the time that a caller waits, in milliseconds
 * @param worth the worth of an answer on time
 * @param lateWorth the worth of a late one
 */
record CallKind(
    String name,
    boolean small,
    double perSecond,
    int promptTokens,
    int events,
    long targetMillis,
    long gapMillis,
    long deadlineMillis,
    double worth,
    double lateWorth) {}
