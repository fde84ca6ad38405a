package org.ebonypond.server.relay;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Objects;
import java.util.stream.Stream;
import org.ebonypond.server.Sample;

/** The parts of a relayed connection: its request, the status and the headers of frames. */
public final class RelaySamples {
  private RelaySamples() {}

  /** Returns the samples. */
  public static List<Sample> all() {
    List<Sample> out = new ArrayList<>();
    out.add(
        new Sample(
            "relay-request",
            request("i-7"),
            b -> request(Objects.requireNonNull(RelayFrames.readRequest(buffer(b))))));
    Stream.of("CONNECTED", "UNREACHABLE", "UNKNOWN_INSTANCE", "BUSY", "CUT_OFF")
        .forEach(s -> out.add(status(s)));
    out.add(header("data", RelayFrames.MAX_LENGTH));
    out.add(header("end", RelayFrames.END));
    out.add(header("broken", RelayFrames.BROKEN));
    out.add(header("retire", RelayFrames.RETIRE));
    return out;
  }

  private static ByteBuf buffer(byte[] bytes) {
    return Unpooled.wrappedBuffer(bytes);
  }

  private static byte[] release(ByteBuf b) {
    byte[] bytes = ByteBufUtil.getBytes(b);
    b.release();
    return bytes;
  }

  private static byte[] request(String instance) {
    return release(RelayFrames.request(UnpooledByteBufAllocator.DEFAULT, instance));
  }

  private static Sample status(String status) {
    return new Sample(
        "relay-status-" + status.toLowerCase(Locale.ROOT).replace('_', '-'),
        new byte[] {(byte) RelayStatus.valueOf(status).code()},
        b -> new byte[] {(byte) Objects.requireNonNull(RelayStatus.ofCode(b[0])).code()});
  }

  private static Sample header(String name, int length) {
    return new Sample("relay-header-" + name, header(length), b -> header(buffer(b).readInt()));
  }

  private static byte[] header(int length) {
    return release(RelayFrames.header(UnpooledByteBufAllocator.DEFAULT, length));
  }
}
