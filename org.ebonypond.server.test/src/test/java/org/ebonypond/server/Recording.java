package org.ebonypond.server;

import java.io.FileNotFoundException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * The messages and files of the production build, as {@code scripts/record-messages 2e7d1c11}
 * recorded them with the classes of that build. The builds run side by side while machines are
 * replaced one after the other.
 */
public final class Recording {
  private static final String RESOURCE = "/recorded/2e7d1c11.txt";

  private Recording() {}

  /** Returns the messages by the name of their sample. */
  public static Map<String, byte[]> messages() throws IOException {
    Map<String, byte[]> out = all();
    out.keySet().removeIf(n -> n.startsWith(MessageRecorder.FILE_PREFIX));
    return out;
  }

  /** Returns the files in the folder of a replica by their name. */
  public static Map<String, byte[]> files() throws IOException {
    Map<String, byte[]> out = new TreeMap<>();
    all()
        .forEach(
            (name, bytes) -> {
              if (name.startsWith(MessageRecorder.FILE_PREFIX)) {
                out.put(name.substring(MessageRecorder.FILE_PREFIX.length()), bytes);
              }
            });
    return out;
  }

  private static Map<String, byte[]> all() throws IOException {
    Map<String, byte[]> out = new TreeMap<>();
    try (InputStream in = Recording.class.getResourceAsStream(RESOURCE)) {
      if (in == null) {
        throw new FileNotFoundException(RESOURCE);
      }
      for (String line : new String(in.readAllBytes(), StandardCharsets.UTF_8).split("\n")) {
        int space = line.indexOf(' ');
        out.put(line.substring(0, space), HexFormat.of().parseHex(line.substring(space + 1)));
      }
    }
    return out;
  }
}
