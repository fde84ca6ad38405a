package org.ebonypond.pgm;

import java.text.MessageFormat;
import java.util.Locale;
import java.util.ResourceBundle;

/** The user messages of the tool; the texts are in the resource bundle {@code messages}. */
public enum ToolMessage {
  USAGE,
  UNKNOWN_COMMAND,
  BAD_ENTRY,
  NO_ENTRIES,
  BAD_TIMEOUT,
  BAD_SINCE,
  BAD_ZONE,
  BAD_SUBJECT,
  BAD_OPERATION_ID,
  UNREADABLE_FILE,
  INVALID_DOCUMENT,
  INVALID_FILE,
  VALID_DOCUMENT,
  OPERATION_ID,
  DOCUMENT_APPLIED,
  ZONE_SET,
  NOT_REACHED,
  ANSWER_LOST,
  NOT_NOW,
  UNREACHABLE,
  REFUSED,
  UNKNOWN_OUTCOME,
  BAD_ANSWER,
  NO_EVENTS,
  MISSING_CAUSES,
  OUTCOME_DIFFERS;

  private static final ResourceBundle BUNDLE =
      ResourceBundle.getBundle("org.ebonypond.pgm.messages", Locale.ROOT);

  /**
   * Returns the text of the message with its arguments.
   *
   * @param arguments the arguments of the pattern, in order
   */
  public String format(Object... arguments) {
    String pattern = BUNDLE.getString(name().toLowerCase(Locale.ROOT).replace('_', '-'));
    Object[] texts = new Object[arguments.length];
    for (int i = 0; i < texts.length; i++) {
      texts[i] = String.valueOf(arguments[i]);
    }
    return new MessageFormat(pattern, Locale.ROOT).format(texts);
  }
}
