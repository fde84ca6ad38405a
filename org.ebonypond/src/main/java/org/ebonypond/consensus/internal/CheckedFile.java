package org.ebonypond.consensus.internal;

import java.nio.ByteBuffer;
import java.util.zip.CRC32C;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.wire.MessagePackCodec;

/** Format of a file that contains one value: a CRC32C, then the value in MessagePack. */
final class CheckedFile {
  private CheckedFile() {}

  static byte[] encode(Object value) {
    byte[] body = MessagePackCodec.encode(value);
    return ByteBuffer.allocate(4 + body.length).putInt(crc(body, 0, body.length)).put(body).array();
  }

  static <T> T decode(String file, byte[] content, Class<T> type) {
    if (content.length < 4
        || ByteBuffer.wrap(content).getInt() != crc(content, 4, content.length - 4)) {
      throw new EbonypondException(ErrorCode.LOG_CORRUPT, file, 0);
    }
    byte[] body = new byte[content.length - 4];
    System.arraycopy(content, 4, body, 0, body.length);
    return MessagePackCodec.decode(body, type);
  }

  static int crc(byte[] data, int offset, int length) {
    CRC32C crc = new CRC32C();
    crc.update(data, offset, length);
    return (int) crc.getValue();
  }
}
