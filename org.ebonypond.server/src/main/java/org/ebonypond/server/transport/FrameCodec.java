package org.ebonypond.server.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;
import java.io.IOException;
import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes frames as MessagePack arrays of seven fields. */
final class FrameCodec extends MessageToMessageCodec<ByteBuf, Frame> {
  private static final int FIELDS = 7;

  /** More than the fields before the payload take, two names among them. */
  private static final int MAX_HEADER_BYTES = 4 << 10;

  private static final FrameType[] TYPES = FrameType.values();

  @Override
  protected void encode(ChannelHandlerContext ctx, Frame f, List<Object> out) throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(FIELDS);
      p.packInt(f.type().ordinal());
      p.packString(f.from());
      p.packString(f.channel());
      p.packLong(f.correlation());
      p.packLong(f.wallMillis());
      p.packInt(f.counter());
      p.packBinaryHeader(f.payload().length);
      p.writePayload(f.payload());
      out.add(ctx.alloc().buffer().writeBytes(p.toByteArray()));
    }
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
      throws IOException {
    // Only the payload of a valid frame is copied as a whole: frames may be large.
    int headerBytes = Math.min(MAX_HEADER_BYTES, in.readableBytes());
    byte[] header = ByteBufUtil.getBytes(in, in.readerIndex(), headerBytes);
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(header)) {
      int fields = u.unpackArrayHeader();
      if (fields < FIELDS) {
        throw new EbonypondException(ErrorCode.FRAME_INVALID, fields + " fields");
      }
      int type = u.unpackInt();
      if (type < 0 || type >= TYPES.length) {
        throw new EbonypondException(ErrorCode.FRAME_INVALID, "type " + type);
      }
      String from = u.unpackString();
      String channel = u.unpackString();
      long correlation = u.unpackLong();
      long wall = u.unpackLong();
      int counter = u.unpackInt();
      int length = u.unpackBinaryHeader();
      if (length > in.readableBytes() - u.getTotalReadBytes()) {
        // The length comes from an untrusted sender and must not be allocated unchecked.
        throw new EbonypondException(ErrorCode.FRAME_INVALID, "payload of " + length + " bytes");
      }
      int start = in.readerIndex() + (int) u.getTotalReadBytes();
      byte[] payload = ByteBufUtil.getBytes(in, start, length);
      out.add(new Frame(TYPES[type], from, channel, correlation, wall, counter, payload));
    }
  }
}
