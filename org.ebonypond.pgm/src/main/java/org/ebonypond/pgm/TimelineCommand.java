package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import org.ebonypond.events.Timeline;

/** Prints the events of all entries, ordered by their hybrid timestamps. */
@Command(
    name = "timeline",
    description = "Print the events of all entries, merged in order of time")
public class TimelineCommand extends EntryCommand {
  private static final long POLL_MILLIS = 1_000;

  @Option(
      name = "--subject",
      title = "SUBJECT",
      description = "Only events of this subject, for example group/g1")
  private String subject = "";

  @Option(
      name = "--since",
      title = "TIME",
      description = "Only events at or after this time: 2026-11-30T08:00:00Z, or 90s, 10m, 2h ago")
  private String since = "";

  @Option(
      name = "--follow",
      description = "Poll every second and print new events, ordered within each poll")
  private boolean follow;

  @Override
  void run(ToolContext ctx) {
    long from = since.isEmpty() ? 0 : Since.parse(since, ctx.wallMillis().getAsLong());
    EventReader reader = new EventReader(client(ctx), ctx.err());
    EventPrinter printer = new EventPrinter(ctx.out(), json());
    do {
      Timeline t = Timeline.merge(reader.read()).since(from);
      t = subject.isEmpty() ? t : t.ofSubject(subject);
      t.events().forEach(printer::print);
      ctx.out().flush();
    } while (follow && ctx.pause().sleep(POLL_MILLIS));
  }
}
