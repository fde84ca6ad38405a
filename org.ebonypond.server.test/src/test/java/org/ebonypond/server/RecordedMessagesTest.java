package org.ebonypond.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** The messages of the production build, see {@link Recording}. */
class RecordedMessagesTest {
  /**
   * The samples with fields that the recorded build does not know. That build must skip them: a
   * name is added only together with a run of {@code scripts/mixed-builds}.
   */
  private static final Set<String> EXTENDED = Set.of();

  static List<Sample> samples() {
    return MessageRecorder.samples();
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static byte[] recorded(Sample s) throws IOException {
    byte[] bytes = Recording.messages().get(s.name());
    assertNotNull(bytes, s.name());
    return bytes;
  }

  /** Guards against a message of the production build that this build cannot read, or misreads. */
  @ParameterizedTest
  @MethodSource("samples")
  void recordedMessageIsRead(Sample s) throws IOException {
    assertEquals(hex(s.bytes()), hex(s.reencode().apply(recorded(s))));
  }

  /** Guards against a message that the production build cannot read, or misreads. */
  @ParameterizedTest
  @MethodSource("samples")
  void messageHasTheRecordedBytes(Sample s) throws IOException {
    if (!EXTENDED.contains(s.name())) {
      assertEquals(hex(recorded(s)), hex(s.bytes()));
    }
  }

  /** Guards against a recorded message that is no longer checked. */
  @Test
  void eachRecordedMessageHasSample() throws IOException {
    Set<String> names = samples().stream().map(Sample::name).collect(Collectors.toSet());
    assertEquals(Recording.messages().keySet(), names);
  }
}
