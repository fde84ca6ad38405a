package org.ebonypond.junit;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Damages valid input in the ways in which parsers are wrong about it, from a seed. */
public final class ByteMutator {
  private static final List<byte[]> TOKENS =
      List.of(
          "0".getBytes(StandardCharsets.US_ASCII),
          "-1".getBytes(StandardCharsets.US_ASCII),
          "99999999999999999999".getBytes(StandardCharsets.US_ASCII),
          "7fffffff".getBytes(StandardCharsets.US_ASCII),
          "\r\n".getBytes(StandardCharsets.US_ASCII),
          "\0".getBytes(StandardCharsets.US_ASCII),
          "{".getBytes(StandardCharsets.US_ASCII),
          "\"".getBytes(StandardCharsets.US_ASCII),
          "null".getBytes(StandardCharsets.US_ASCII),
          new byte[] {(byte) 0xc6, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
          new byte[] {(byte) 0xff, (byte) 0xfe});

  private final Random random;

  /** Creates a mutator; the same seed damages the same input in the same way. */
  public ByteMutator(long seed) {
    this.random = new Random(seed);
  }

  /** Returns a damaged copy. */
  public byte[] mutate(byte[] input) {
    byte[] out = input;
    for (int n = 1 + random.nextInt(3); n > 0; n--) {
      out = mutateOnce(out);
    }
    return out;
  }

  private byte[] mutateOnce(byte[] in) {
    int at = random.nextInt(in.length + 1);
    int length = Math.min(in.length - at, random.nextInt(20));
    return switch (random.nextInt(5)) {
      case 0 -> Arrays.copyOf(in, at);
      case 1 -> join(in, at, at, TOKENS.get(random.nextInt(TOKENS.size())));
      case 2 -> join(in, at, at + length, new byte[0]);
      case 3 -> join(in, at, at, Arrays.copyOfRange(in, at, at + length));
      default -> flip(in, at);
    };
  }

  private byte[] flip(byte[] in, int at) {
    byte[] out = in.clone();
    if (at < out.length) {
      out[at] = (byte) random.nextInt(256);
    }
    return out;
  }

  /** Replaces the bytes between two positions. */
  private static byte[] join(byte[] in, int from, int to, byte[] by) {
    byte[] out = new byte[from + by.length + in.length - to];
    System.arraycopy(in, 0, out, 0, from);
    System.arraycopy(by, 0, out, from, by.length);
    System.arraycopy(in, to, out, from + by.length, in.length - to);
    return out;
  }
}
