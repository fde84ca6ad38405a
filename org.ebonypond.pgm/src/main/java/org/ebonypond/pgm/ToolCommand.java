package org.ebonypond.pgm;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;

/** Base class of the commands. */
@ExitCodes(
    codes = {0, 1, 2, 3, 4},
    descriptions = {
      "The command succeeded",
      "The system or the validation of the document refused the command; nothing was changed",
      "The command line, or a file that it names, cannot be used",
      "No entry can be reached; nothing was changed",
      "The outcome is not known; repeat the command with the printed operation identifier"
    })
abstract class ToolCommand {
  /** The JSON mapper of all commands. */
  static final ObjectMapper JSON = new ObjectMapper();

  @Option(name = "--json", description = "Print JSON instead of text")
  private boolean json;

  // Main handles this option before parsing; it is declared so that the help lists it.
  @Option(
      name = {"-h", "--help"},
      description = "Show the help of the command")
  private boolean help;

  /**
   * Runs the command.
   *
   * @throws ToolException if the command fails
   */
  abstract void run(ToolContext ctx);

  /** Returns whether results are printed as JSON. */
  final boolean json() {
    return json;
  }

  /** Parses the JSON body of an answer. */
  static JsonNode parse(Answer a) {
    try {
      return JSON.readTree(a.body());
    } catch (JsonProcessingException e) {
      throw new ToolException(
          ExitCode.UNREACHABLE, ToolMessage.BAD_ANSWER, a.entry(), e.getOriginalMessage());
    }
  }
}
