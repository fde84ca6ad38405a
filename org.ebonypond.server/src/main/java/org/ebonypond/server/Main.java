package org.ebonypond.server;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.server.settings.DaemonSettings;
import org.ebonypond.server.settings.SettingsParser;
import org.jspecify.annotations.Nullable;

/** The command-line program {@code ebonypondd}. */
@Command(name = "ebonypondd", description = "Runs an ebonypond daemon")
public final class Main {
  private static final int EXIT_USAGE = 2;
  private static final int EXIT_FAILED = 1;

  @Option(
      name = "--settings",
      title = "FILE",
      description = "The TOML file with the settings of this daemon")
  private @Nullable String settingsFile;

  @Option(
      name = "--check-settings",
      description = "Checks the settings and exits: 0 if they are valid, 2 if not")
  private boolean checkSettingsOnly;

  /** Creates the command; called by the command-line library. */
  public Main() {}

  /** Runs the program. */
  public static void main(String[] args) throws InterruptedException {
    SingleCommand<Main> parser = SingleCommand.singleCommand(Main.class);
    if (java.util.List.of(args).contains("--help")) {
      help(parser);
      return;
    }
    Main m;
    try {
      m = parser.parse(args);
    } catch (ParseException e) {
      System.err.println("ebonypondd: " + e.getMessage());
      System.exit(EXIT_USAGE);
      return;
    }
    System.exit(m.run());
  }

  private static void help(SingleCommand<Main> parser) {
    try {
      com.github.rvesse.airline.help.Help.help(parser.getCommandMetadata(), System.out);
    } catch (IOException e) {
      System.err.println("ebonypondd: " + e.getMessage());
    }
  }

  private int run() throws InterruptedException {
    DaemonSettings settings;
    try {
      settings = SettingsParser.parse(Files.readString(Path.of(requireSettingsFile())));
    } catch (IOException e) {
      System.err.println("ebonypondd: cannot read the settings: " + e);
      return EXIT_USAGE;
    } catch (EbonypondException e) {
      System.err.println(settingsFile + ": " + e.getMessage());
      return EXIT_USAGE;
    }
    if (checkSettingsOnly) {
      System.out.println(settingsFile + ": ok");
      return 0;
    }
    Daemon daemon;
    try {
      daemon = new Daemon(settings);
      daemon.start();
    } catch (EbonypondException e) {
      System.err.println("ebonypondd: " + e.getMessage());
      return EXIT_FAILED;
    }
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  daemon.shutdown();
                  awaitStopOrInterrupt(daemon);
                },
                "shutdown"));
    return daemon.awaitStop();
  }

  private String requireSettingsFile() throws IOException {
    if (settingsFile == null) {
      throw new IOException("--settings FILE is missing; see --help");
    }
    return settingsFile;
  }

  private static void awaitStopOrInterrupt(Daemon daemon) {
    try {
      daemon.awaitStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
