package org.ebonypond.server.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * The bytes on a connection between two entries. The one that opens it sends the identifier of an
 * instance (two bytes with its length, then UTF-8), and is answered with one byte, the code of a
 * {@link RelayStatus}. From then on its bytes go to the instance as they are. The bytes of the
 * instance come back in frames, each with its length in four bytes before it, so that the end of
 * the instance's answer differs from that of the process that relays it.
 */
final class RelayFrames {
  /** The length of a frame after which the instance sends nothing more: it has closed in order. */
  static final int END = 0;

  /** The length of a frame that says that the connection to the instance has broken. */
  static final int BROKEN = -1;

  /**
   * The length of a frame that asks for no further request on this connection, since the process
   * that relays it stops soon.
   */
  static final int RETIRE = -2;

  /** One read of a socket returns at most this many bytes. */
  static final int MAX_LENGTH = 1 << 16;

  static final int LENGTH_BYTES = 4;
  static final int MAX_ID_BYTES = 256;
  private static final int ID_LENGTH_BYTES = 2;

  private RelayFrames() {}

  static ByteBuf request(ByteBufAllocator allocator, String instance) {
    byte[] id = instance.getBytes(StandardCharsets.UTF_8);
    return allocator.buffer(ID_LENGTH_BYTES + id.length).writeShort(id.length).writeBytes(id);
  }

  /**
   * Reads the identifier of an instance if it has arrived completely.
   *
   * @return the identifier, or null if more bytes are needed
   * @throws IllegalArgumentException if it is empty or too long
   */
  static @Nullable String readRequest(ByteBuf in) {
    if (in.readableBytes() < ID_LENGTH_BYTES) {
      return null;
    }
    int length = in.getUnsignedShort(in.readerIndex());
    if (length == 0 || length > MAX_ID_BYTES) {
      throw new IllegalArgumentException("an identifier of " + length + " bytes");
    }
    if (in.readableBytes() < ID_LENGTH_BYTES + length) {
      return null;
    }
    in.skipBytes(ID_LENGTH_BYTES);
    return in.readCharSequence(length, StandardCharsets.UTF_8).toString();
  }

  static ByteBuf header(ByteBufAllocator allocator, int length) {
    return allocator.buffer(LENGTH_BYTES).writeInt(length);
  }
}
