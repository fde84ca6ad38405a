package org.ebonypond.junit;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Random;

/** Mutates valid input from a seed, in ways that commonly reveal faults of parsers. */
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

  /** Creates a mutator; its mutations depend only on the seed and the inputs. */
  public ByteMutator(long seed) {
    this.random = new Random(seed);
  }

  /** Returns a copy with one to three mutations. */
  public byte[] mutate(byte[] input) {
    byte[] out = input;
    for (int n = 1 + random.nextInt(3); n > 0; n--) {
      out = mutateOnce(out);
    }
    return out;
  }

  private byte[] mutateOnce(byte[] in) {
    int position = random.nextInt(in.length + 1);
    int length = Math.min(in.length - position, random.nextInt(20));
    return switch (random.nextInt(5)) {
      case 0 -> Arrays.copyOf(in, position);
      case 1 -> splice(in, position, position, TOKENS.get(random.nextInt(TOKENS.size())));
      case 2 -> splice(in, position, position + length, new byte[0]);
      case 3 -> splice(in, position, position, Arrays.copyOfRange(in, position, position + length));
      default -> replaceByte(in, position);
    };
  }

  private byte[] replaceByte(byte[] in, int position) {
    byte[] out = in.clone();
    if (position < out.length) {
      out[position] = (byte) random.nextInt(256);
    }
    return out;
  }

  /** Returns a copy in which the bytes between two positions are replaced. */
  private static byte[] splice(byte[] in, int from, int to, byte[] replacement) {
    byte[] out = new byte[from + replacement.length + in.length - to];
    System.arraycopy(in, 0, out, 0, from);
    System.arraycopy(replacement, 0, out, from, replacement.length);
    System.arraycopy(in, to, out, from + replacement.length, in.length - to);
    return out;
  }
}
