package org.ebonypond.pgm;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.ExitCodes;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.ebonypond.control.GroupState;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.trace.ExpectedOutcome;
import org.ebonypond.trace.TraceOutcome;
import org.ebonypond.trace.TraceReader;
import org.ebonypond.trace.TraceReplay;

/** Replays a trace of the control leader and compares the outcome with the expected one. */
@Command(
    name = "replay",
    description = "Replay a recorded trace of the control leader and check the outcome")
@ExitCodes(
    codes = {0, 1, 2},
    descriptions = {
      "The outcome is as expected",
      "The outcome differs from the expected one, or an invariant was violated",
      "The command line, or a file that it names, cannot be used"
    })
public class ReplayCommand extends ToolCommand {
  @Required
  @Arguments(title = "TRACE", description = "The trace file")
  private String trace = "";

  @Option(
      name = "--expect",
      title = "FILE",
      description = "The expected outcome in TOML; without it only the invariants are checked")
  private String expect = "";

  @Override
  void run(ToolContext ctx) {
    final ExpectedOutcome expected =
        expect.isEmpty() ? ExpectedOutcome.parse("") : read(expect, ExpectedOutcome::parse);
    final TraceOutcome outcome =
        read(trace, text -> TraceReplay.run(TraceReader.read(text), expected.fromMillis()));
    final List<String> differences = expected.differences(outcome);
    if (json()) {
      ObjectNode n = JSON.valueToTree(summary(outcome));
      n.put("asStated", differences.isEmpty());
      n.set("differences", JSON.valueToTree(differences));
      n.set("proposals", JSON.valueToTree(outcome.proposals()));
      n.set("orders", JSON.valueToTree(outcome.orders()));
      ctx.out().println(n);
    } else {
      summary(outcome).forEach((key, value) -> ctx.out().println(key + " " + value));
      differences.forEach(ctx.out()::println);
    }
    if (!differences.isEmpty()) {
      throw new ToolException(
          ExitCode.REFUSED, ToolMessage.OUTCOME_DIFFERS, trace, differences.size());
    }
  }

  private static Map<String, Long> summary(TraceOutcome o) {
    Map<String, Long> out = new LinkedHashMap<>();
    out.put(
        "groupsReady",
        o.finalView().groups().values().stream()
            .filter(g -> g.state() == GroupState.READY)
            .count());
    out.put("groupMillisDown", o.groupMillisDown());
    out.put("instanceMillisStranded", o.instanceMillisStranded());
    out.put("moves", o.moves());
    out.put("proposalCount", (long) o.proposals().size());
    out.put("orderCount", (long) o.orders().size());
    out.put("ordersAfterStepDown", o.ordersAfterStepDown());
    out.put("shortestWaitMillis", o.shortestWaitMillis());
    out.put("longestDetectionMillis", o.longestDetectionMillis());
    out.put("unproposedCommits", (long) o.unproposedCommits().size());
    out.put("unmatchedAnswers", o.unmatchedAnswers());
    return out;
  }

  private static <T> T read(String file, Function<String, T> parser) {
    try {
      return parser.apply(Files.readString(Path.of(file)));
    } catch (EbonypondException e) {
      throw new ToolException(
          ExitCode.USAGE, ToolMessage.INVALID_FILE, file, String.valueOf(e.getMessage()));
    } catch (IOException | InvalidPathException e) {
      throw new ToolException(
          ExitCode.USAGE, ToolMessage.UNREADABLE_FILE, file, e.getClass().getSimpleName());
    }
  }
}
