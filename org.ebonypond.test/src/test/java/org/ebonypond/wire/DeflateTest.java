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

  /** Guards against a document that differs after compression and decompression. */
  @Test
  void roundTripKeepsDocuments() {
    Random random = new Random(5);
    for (int size : new int[] {0, 1, 100, 50_000, MAX_BYTES}) {
      byte[] document = new byte[size];
      random.nextBytes(document);
      assertArrayEquals(document, Deflate.unpack(Deflate.pack(document), MAX_BYTES));
    }
  }

  /** Guards against uncompressed documents of earlier versions that can no longer be read. */
  @Test
  void uncompressedDocumentIsReturnedUnchanged() {
    byte[] document = "{\"version\":1}".getBytes(StandardCharsets.UTF_8);
    assertArrayEquals(document, Deflate.unpack(document, MAX_BYTES));
  }

  /** Guards against small untrusted input that decompresses to more than the available memory. */
  @Test
  void documentOverTheLimitIsRejected() {
    byte[] compressed = Deflate.pack(new byte[MAX_BYTES + 1]);
    assertTrue(compressed.length < MAX_BYTES / 100);
    assertThrows(EbonypondException.class, () -> Deflate.unpack(compressed, MAX_BYTES));
  }

  /** Guards against corrupt input that makes the reader hang or crash. */
  @Test
  void corruptBytesAreRejected() {
    byte[] compressed =
        Deflate.pack("a document that is long enough".getBytes(StandardCharsets.UTF_8));
    for (int length = 1; length < compressed.length; length++) {
      byte[] cut = Arrays.copyOf(compressed, length);
      assertThrows(EbonypondException.class, () -> Deflate.unpack(cut, MAX_BYTES));
    }
    for (int i = 1; i < compressed.length; i++) {
      byte[] bad = compressed.clone();
      bad[i] ^= 0x55;
      assertThrows(EbonypondException.class, () -> Deflate.unpack(bad, MAX_BYTES));
    }
  }
}
