package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.util.ArrayList;
import java.util.List;
import org.ebonypond.events.Timeline;

/** Prints the events of a request or group with their direct and indirect causes. */
@Command(
    name = "explain",
    description = "Print the events of a request or a group with their direct and indirect causes")
public class ExplainCommand extends EntryCommand {
  @Required
  @Arguments(
      title = {"KIND", "ID"},
      description = "The word request or group, and the identifier")
  private List<String> words = new ArrayList<>();

  @Override
  void run(ToolContext ctx) {
    boolean valid =
        words.size() == 2 && (words.get(0).equals("request") || words.get(0).equals("group"));
    if (!valid) {
      String id = words.size() > 1 ? words.get(1) : "";
      throw new ToolException(ExitCode.USAGE, ToolMessage.BAD_SUBJECT, words.get(0), id);
    }
    String subject = words.get(0) + "/" + words.get(1);
    EventReader reader = new EventReader(client(ctx), ctx.err());
    Timeline t = Timeline.merge(reader.read()).explain(subject);
    if (t.events().isEmpty()) {
      throw new ToolException(
          ExitCode.REFUSED, ToolMessage.NO_EVENTS, subject, reader.answeredEntries());
    }
    EventPrinter printer = new EventPrinter(ctx.out(), json());
    t.events().forEach(printer::print);
    if (!t.missingCauses().isEmpty()) {
      String missing = String.join(", ", t.missingCauses());
      ctx.err().println(ToolMessage.MISSING_CAUSES.format(missing));
    }
  }
}
