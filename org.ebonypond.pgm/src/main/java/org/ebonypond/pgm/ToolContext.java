package org.ebonypond.pgm;

import java.io.PrintStream;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * What the commands use of their surroundings.
 *
 * @param environment the environment variables
 * @param out takes results
 * @param err takes progress and errors
 * @param wallMillis supplies wall time in milliseconds since the epoch
 * @param operationIds supplies operation identifiers
 * @param pause waits between two attempts or polls; returns false when the command is to end
 */
public record ToolContext(
    Map<String, String> environment,
    PrintStream out,
    PrintStream err,
    LongSupplier wallMillis,
    Supplier<String> operationIds,
    Pause pause) {

  /** Waits. */
  @FunctionalInterface
  public interface Pause {
    /**
     * Waits.
     *
     * @param millis the time in milliseconds
     * @return false if the wait was interrupted and the command is to end
     */
    boolean millis(long millis);
  }
}
