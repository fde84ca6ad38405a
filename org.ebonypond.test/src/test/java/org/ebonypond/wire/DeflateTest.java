package org.ebonypond.wire;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import org.ebonypond.errors.EbonypondException;
import org.junit.jupiter.api.Test;

class DeflateTest {
  private static final int MAX_BYTES = 1 << 20;

  /** Guards against a configuration that is read back otherwise than it was sent. */
  @Test
  void documentsComeBackUnchanged() {
    Random random = new Random(5);
    for (int size : new int[] {0, 1, 100, 50_000, MAX_BYTES}) {
      byte[] document = new byte[size];
      random.nextBytes(document);
      assertArrayEquals(document, Deflate.unpack(Deflate.pack(document), MAX_BYTES));
    }
  }

  /** Guards against a configuration that an earlier version stored and this one cannot read. */
  @Test
  void documentThatWasNotPackedIsTakenAsItIs() {
    byte[] document = "{\"version\":1}".getBytes(StandardCharsets.UTF_8);
    assertArrayEquals(document, Deflate.unpack(document, MAX_BYTES));
  }

  /** Guards against few bytes of a stranger that unpack to more than the memory. */
  @Test
  void documentOverTheLimitIsRefused() {
    byte[] packed = Deflate.pack(new byte[MAX_BYTES + 1]);
    assertTrue(packed.length < MAX_BYTES / 100);
    assertThrows(EbonypondException.class, () -> Deflate.unpack(packed, MAX_BYTES));
  }

  /** Guards against damaged bytes that hang or end the reader. */
  @Test
  void damagedBytesAreRefused() {
    byte[] packed = Deflate.pack("a document that is long enough".getBytes(StandardCharsets.UTF_8));
    for (int length = 1; length < packed.length; length++) {
      byte[] cut = Arrays.copyOf(packed, length);
      assertThrows(EbonypondException.class, () -> Deflate.unpack(cut, MAX_BYTES));
    }
    for (int i = 1; i < packed.length; i++) {
      byte[] bad = packed.clone();
      bad[i] ^= 0x55;
      assertThrows(EbonypondException.class, () -> Deflate.unpack(bad, MAX_BYTES));
    }
  }
}
