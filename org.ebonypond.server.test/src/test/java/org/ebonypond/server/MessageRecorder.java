package org.ebonypond.server;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Stream;
import org.ebonypond.server.fleet.PollSamples;
import org.ebonypond.server.relay.RelaySamples;
import org.ebonypond.server.replica.LogSamples;
import org.ebonypond.server.storage.LogFolderSample;
import org.ebonypond.server.transport.FrameSamples;

/**
 * Prints the bytes of all samples in hexadecimal, as the build on the class path writes them; see
 * {@code scripts/record-messages}.
 */
public final class MessageRecorder {
  /** The prefix of the names of the files in the folder of a replica. */
  static final String FILE_PREFIX = "file/";

  private MessageRecorder() {}

  static List<Sample> samples() {
    return Stream.of(PollSamples.all(), FrameSamples.all(), RelaySamples.all(), LogSamples.all())
        .flatMap(List::stream)
        .toList();
  }

  /** Prints a line with name and bytes for each sample. */
  public static void main(String[] args) throws IOException {
    samples().forEach(s -> print(s.name(), s.bytes()));
    Path folder = Files.createTempDirectory("recorded-log");
    LogFolderSample.write(folder).forEach((name, bytes) -> print(FILE_PREFIX + name, bytes));
  }

  private static void print(String name, byte[] bytes) {
    System.out.println(name + " " + HexFormat.of().formatHex(bytes));
  }
}
