package org.ebonypond.pgm;

/** The exit codes of the tool. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The system or the validation of the document refused the command; nothing was changed. */
  REFUSED(1),
  /** The command line or a file named in it cannot be used. */
  USAGE(2),
  /** No entry can be reached; nothing was changed. */
  UNREACHABLE(3),
  /** The outcome is not known; the command can be repeated with the same operation identifier. */
  UNKNOWN(4);

  private final int number;

  ExitCode(int number) {
    this.number = number;
  }

  /** Returns the exit status of the process. */
  public int number() {
    return number;
  }
}
