package org.ebonypond.wire;

import java.io.ByteArrayOutputStream;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Compresses documents for the log and the network in the zlib format. */
public final class Deflate {
  /**
   * The first byte of the zlib format with the default window size; no text document starts with
   * it.
   */
  private static final byte ZLIB = 0x78;

  private static final int BLOCK_BYTES = 8 << 10;

  private Deflate() {}

  /** Returns the compressed document. */
  public static byte[] pack(byte[] document) {
    Deflater d = new Deflater(Deflater.BEST_SPEED);
    try {
      d.setInput(document);
      d.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream(BLOCK_BYTES);
      byte[] block = new byte[BLOCK_BYTES];
      while (!d.finished()) {
        out.write(block, 0, d.deflate(block));
      }
      return out.toByteArray();
    } finally {
      d.end();
    }
  }

  /**
   * Decompresses a document. Bytes that are not in the zlib format are returned unchanged, since
   * earlier versions stored documents without compression.
   *
   * @param maxBytes the maximum size of the document
   * @throws EbonypondException {@code frame-invalid} if the bytes are corrupt or the document is
   *     too large
   */
  public static byte[] unpack(byte[] bytes, int maxBytes) {
    if (bytes.length == 0 || bytes[0] != ZLIB) {
      return bytes;
    }
    Inflater i = new Inflater();
    try {
      i.setInput(bytes);
      ByteArrayOutputStream out = new ByteArrayOutputStream(4 * bytes.length);
      byte[] block = new byte[BLOCK_BYTES];
      while (!i.finished()) {
        int n = i.inflate(block);
        if (n == 0 && !i.finished()) {
          throw new EbonypondException(
              ErrorCode.FRAME_INVALID, "a compressed document is truncated");
        }
        out.write(block, 0, n);
        if (out.size() > maxBytes) {
          throw new EbonypondException(
              ErrorCode.FRAME_INVALID,
              "a compressed document expands to more than " + maxBytes + " bytes");
        }
      }
      return out.toByteArray();
    } catch (DataFormatException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, "a compressed document is corrupt");
    } finally {
      i.end();
    }
  }
}
