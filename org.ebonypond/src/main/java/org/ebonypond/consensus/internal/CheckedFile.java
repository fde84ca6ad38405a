package org.ebonypond.consensus.internal;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;

/** Format of a file that contains one encoded value: a CRC32C, then the value. */
final class CheckedFile {
  private CheckedFile() {}

  static byte[] encode(byte[] body) {
    return ByteBuffer.allocate(4 + body.length).putInt(crc(body, 0, body.length)).put(body).array();
  }

  static byte[] decode(String file, byte[] content) {
    if (content.length < 4
        || ByteBuffer.wrap(content).getInt() != crc(content, 4, content.length - 4)) {
      throw new EbonypondException(ErrorCode.LOG_CORRUPT, file, 0);
    }
    byte[] body = new byte[content.length - 4];
    System.arraycopy(content, 4, body, 0, body.length);
    return body;
  }

  static int crc(byte[] data, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(data, offset, length);
    return (int) crc.getValue();
  }
}
