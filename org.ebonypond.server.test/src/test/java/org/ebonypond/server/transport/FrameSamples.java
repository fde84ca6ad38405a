package org.ebonypond.server.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.ebonypond.server.Sample;

/** A frame of each type, named in words. */
public final class FrameSamples {
  private FrameSamples() {}

  /** Returns the samples. */
  public static List<Sample> all() {
    return Stream.of(
            "RAFT",
            "PROPOSE",
            "VIEW_POLL",
            "INSTANCE_REPORT",
            "LEDGER_LOOKUP",
            "SHARE_REQUEST",
            "ANSWER",
            "FAILURE",
            "FLEET_POLL",
            "PING")
        .map(FrameSamples::sample)
        .toList();
  }

  private static Sample sample(String type) {
    FrameType t = FrameType.valueOf(type);
    byte[] payload = t == FrameType.PING ? new byte[0] : new byte[] {1, -2, 3};
    Frame f = new Frame(t, "core-1", "serving", 77, 1_789_590_294_648L, 3, payload);
    String name = "frame-" + type.toLowerCase(Locale.ROOT).replace('_', '-');
    return new Sample(name, encode(f), b -> encode(decode(b)));
  }

  private static byte[] encode(Frame f) {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    c.writeOutbound(f);
    ByteBuf out = c.readOutbound();
    byte[] bytes = ByteBufUtil.getBytes(out);
    out.release();
    c.finishAndReleaseAll();
    return bytes;
  }

  private static Frame decode(byte[] bytes) {
    EmbeddedChannel c = new EmbeddedChannel(new FrameCodec());
    c.writeInbound(Unpooled.wrappedBuffer(bytes));
    Frame f = c.readInbound();
    c.finishAndReleaseAll();
    return f;
  }
}
