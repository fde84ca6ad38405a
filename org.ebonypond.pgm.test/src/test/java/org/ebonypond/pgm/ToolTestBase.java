package org.ebonypond.pgm;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;

/** Runs the tool in the test process, without delays between attempts. */
class ToolTestBase {
  static final long NOW = 1_800_000_000_000L;
  final ByteArrayOutputStream outBytes = new ByteArrayOutputStream();
  final ByteArrayOutputStream errBytes = new ByteArrayOutputStream();
  final Map<String, String> environment = new HashMap<>();

  /** Replaces the waits between attempts and polls. */
  ToolContext.Pause pause = millis -> true;

  int run(String... args) {
    ToolContext ctx =
        new ToolContext(
            environment,
            new PrintStream(outBytes, true, StandardCharsets.UTF_8),
            new PrintStream(errBytes, true, StandardCharsets.UTF_8),
            () -> NOW,
            () -> "op-1",
            m -> pause.sleep(m));
    return Main.run(ctx, args).number();
  }

  String out() {
    return outBytes.toString(StandardCharsets.UTF_8);
  }

  String err() {
    return errBytes.toString(StandardCharsets.UTF_8);
  }

  /** Returns an address on which nothing listens. */
  static String unusedAddress() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return "127.0.0.1:" + s.getLocalPort();
    }
  }
}
