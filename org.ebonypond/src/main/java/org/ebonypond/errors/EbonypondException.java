package org.ebonypond.errors;

import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * The common unchecked exception of all modules, with a stable error code and the message
 * arguments.
 */
public class EbonypondException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final ErrorCode code;
  private final transient List<Object> arguments;

  /**
   * Creates an exception whose message is the bundle's text for the code.
   *
   * @param code the stable code
   * @param arguments the arguments of the message pattern, in order
   */
  public EbonypondException(ErrorCode code, Object... arguments) {
    this(null, code, arguments);
  }

  /**
   * Creates an exception with a cause.
   *
   * @param cause the underlying failure, or null
   * @param code the stable code
   * @param arguments the arguments of the message pattern, in order
   */
  public EbonypondException(@Nullable Throwable cause, ErrorCode code, Object... arguments) {
    super(Messages.format(code, arguments), cause);
    this.code = code;
    this.arguments = List.of(arguments);
  }

  /** Returns the stable code. */
  public ErrorCode code() {
    return code;
  }

  /** Returns the message arguments, in order. */
  public List<Object> arguments() {
    return arguments;
  }
}
