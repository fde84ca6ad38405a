package org.ebonypond.pgm;

/** Ends a command with a message and an exit code. */
public final class ToolException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ExitCode exitCode;
  private final ToolMessage kind;

  /**
   * Creates an exception.
   *
   * @param exitCode the exit code
   * @param kind the message
   * @param arguments the arguments of the message, in order
   */
  public ToolException(ExitCode exitCode, ToolMessage kind, Object... arguments) {
    super(kind.format(arguments));
    this.exitCode = exitCode;
    this.kind = kind;
  }

  /** Returns the exit code. */
  public ExitCode exitCode() {
    return exitCode;
  }

  /** Returns which message this is. */
  public ToolMessage kind() {
    return kind;
  }
}
