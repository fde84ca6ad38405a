package org.ebonypond.bench.experiment;

/**
 * A kind of request in the modelled workload.
 *
 * @param name the name in reports
 * @param small whether it goes to the smaller model
 * @param perSecond the mean requests per second at the usual load
 * @param promptTokens the mean prompt length in tokens
 * @param events the mean number of events of an answer
 * @param targetMillis the time to the first event that counts as on time, in milliseconds
 * @param gapMillis the longest pause between two events that counts as on time, in milliseconds
 * @param deadlineMillis the time for which the caller waits, retries included, in milliseconds
 * @param fullCredit the credit for an answer on time
 * @param lateCredit the credit for a late answer
 */
record RequestKind(
    String name,
    boolean small,
    double perSecond,
    int promptTokens,
    int events,
    long targetMillis,
    long gapMillis,
    long deadlineMillis,
    double fullCredit,
    double lateCredit) {}
