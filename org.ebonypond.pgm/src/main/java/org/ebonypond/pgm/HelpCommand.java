package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import java.util.ArrayList;
import java.util.List;

/** The help command; {@link Main} prints the help. */
@Command(name = "help", description = "Show the help of the tool or of one command")
public class HelpCommand extends ToolCommand {
  @Arguments(title = "COMMAND", description = "The command, for example: zone out")
  private List<String> path = new ArrayList<>();

  List<String> path() {
    return path;
  }

  @Override
  void run(ToolContext ctx) {
    // Main prints the help because it holds the descriptions of all commands.
  }
}
