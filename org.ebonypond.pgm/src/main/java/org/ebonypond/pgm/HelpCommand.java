package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;

/** Shows the help; {@link Main} prints it. */
@Command(name = "help", description = "Show the help of the tool or of one command")
public class HelpCommand extends ToolCommand {
  @Arguments(title = "COMMAND", description = "The command, for example: zone out")
  private List<String> words = new ArrayList<>();

  List<String> words() {
    return words;
  }

  @Override
  void run(ToolContext ctx) {
    // Main prints the help because it holds the description of all commands.
  }
}
