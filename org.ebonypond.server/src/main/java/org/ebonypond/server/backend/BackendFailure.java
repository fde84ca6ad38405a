package org.ebonypond.server.backend;

/** Thrown if a call to a plain service gets no answer that can be used. */
public final class BackendFailure extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final FailureKind kind;

  /**
   * Creates a failure.
   *
   * @param kind how the call failed
   * @param detail a description for logs
   */
  public BackendFailure(FailureKind kind, String detail) {
    super(detail);
    this.kind = kind;
  }

  /** Returns how the call failed. */
  public FailureKind kind() {
    return kind;
  }
}
