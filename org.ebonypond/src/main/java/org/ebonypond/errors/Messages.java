package org.ebonypond.errors;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** The bundle of user messages, one pattern for each {@link ErrorCode}. */
public final class Messages {
  private static final ResourceBundle BUNDLE =
      ResourceBundle.getBundle("org.ebonypond.messages", Locale.ROOT);

  private Messages() {}

  /**
   * Returns the user message of a code.
   *
   * @param code the error code
   * @param arguments the arguments of the pattern, in order
   * @throws java.util.MissingResourceException if the bundle has no pattern for the code
   */
  public static String format(ErrorCode code, Object... arguments) {
    MessageFormat format = new MessageFormat(BUNDLE.getString(code.wireName()), Locale.ROOT);
    return format.format(arguments);
  }
}
