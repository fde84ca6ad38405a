package org.ebonypond.pgm;

import com.github.rvesse.airline.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;

/** The main class of the tool {@code ebonypond}. */
@com.github.rvesse.airline.annotations.Cli(
    name = "ebonypond",
    description = "Operates an ebonypond system through any of its entries",
    defaultCommand = HelpCommand.class,
    commands = {
      HelpCommand.class,
      ValidateCommand.class,
      ApplyCommand.class,
      GetCommand.class,
      StatusCommand.class,
      TimelineCommand.class,
      ExplainCommand.class,
      ReplayCommand.class
    },
    groups = {
      @Group(
          name = "zone",
          description = "Take availability zones out of service and bring them back",
          commands = {ZoneOutCommand.class, ZoneInCommand.class})
    })
public final class Main {
  private Main() {}

  /**
   * Runs the tool and ends the process with its exit code.
   *
   * @param args the command line
   */
  public static void main(String[] args) {
    ToolContext ctx =
        new ToolContext(
            System.getenv(),
            System.out,
            System.err,
            System::currentTimeMillis,
            () -> UUID.randomUUID().toString(),
            Main::sleep);
    System.exit(run(ctx, args).number());
  }

  /**
   * Runs the tool.
   *
   * @param ctx the environment of the command
   * @param args the command line
   * @return the exit code
   */
  public static ExitCode run(ToolContext ctx, String... args) {
    Cli<ToolCommand> cli = new Cli<>(Main.class);
    List<String> words = new ArrayList<>(Arrays.asList(args));
    try {
      if (words.contains("--help") || words.contains("-h")) {
        printHelp(cli, ctx, words);
        return ExitCode.OK;
      }
      ToolCommand command = cli.parse(args);
      if (command instanceof HelpCommand h) {
        // An unknown command is parsed as the arguments of the default command, which is help.
        if (args.length > 0 && !args[0].equals("help")) {
          throw new ToolException(ExitCode.USAGE, ToolMessage.UNKNOWN_COMMAND, args[0]);
        }
        printHelp(cli, ctx, h.path());
        return ExitCode.OK;
      }
      command.run(ctx);
      return ExitCode.OK;
    } catch (ParseException e) {
      ctx.err().println(ToolMessage.USAGE.format(e.getMessage()));
      return ExitCode.USAGE;
    } catch (ToolException e) {
      ctx.err().println(e.getMessage());
      return e.exitCode();
    } finally {
      ctx.out().flush();
      ctx.err().flush();
    }
  }

  /** Prints the help of the command named by the arguments before the first option. */
  private static void printHelp(Cli<ToolCommand> cli, ToolContext ctx, List<String> words) {
    List<String> path = new ArrayList<>();
    for (String w : words) {
      boolean isZoneAction = path.size() == 1 && path.get(0).equals("zone");
      if (w.startsWith("-") || !(path.isEmpty() || isZoneAction)) {
        break;
      }
      path.add(w);
    }
    try {
      Help.help(cli.getMetadata(), path, ctx.out());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static boolean sleep(long millis) {
    try {
      Thread.sleep(millis);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
