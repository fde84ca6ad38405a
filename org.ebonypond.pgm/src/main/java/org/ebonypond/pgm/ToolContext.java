package org.ebonypond.pgm;

import java.io.PrintStream;
import java.util.Map;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The environment of a command: variables, output streams, the clock and waits.
 *
 * @param environment the environment variables
 * @param out receives results
 * @param err receives progress and errors
 * @param wallMillis supplies the wall time in milliseconds since the epoch
 * @param operationIds supplies operation identifiers
 * @param pause waits between two attempts or polls
 */
public record ToolContext(
    Map<String, String> environment,
    PrintStream out,
    PrintStream err,
    LongSupplier wallMillis,
    Supplier<String> operationIds,
    Pause pause) {

  /** Waits between two attempts or polls; a test replaces it. */
  @FunctionalInterface
  public interface Pause {
    /**
     * Waits.
     *
     * @param millis the duration in milliseconds
     * @return false if the wait was interrupted and the command must end
     */
    boolean sleep(long millis);
  }
}
