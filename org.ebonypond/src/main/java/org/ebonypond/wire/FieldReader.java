package org.ebonypond.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of a record that {@link FieldWriter} or {@link MessagePackCodec} encoded.
 * Unknown fields are ignored and missing numbers are 0, so that processes of consecutive versions
 * are compatible during an upgrade. All methods throw {@code frame-invalid} if the bytes are not a
 * valid encoding.
 */
public final class FieldReader {
  private final byte[] bytes;

  /** The position of each value in the bytes. */
  private final Map<String, Span> values = new HashMap<>();

  private FieldReader(byte[] bytes, int from, int to) throws IOException {
    this.bytes = bytes;
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes, from, to - from)) {
      int fields = u.unpackMapHeader();
      for (int i = 0; i < fields; i++) {
        String name = u.unpackString();
        int start = from + (int) u.getTotalReadBytes();
        u.skipValue();
        values.put(name, new Span(start, from + (int) u.getTotalReadBytes()));
      }
    }
  }

  /** Decodes a record. */
  public static <T> T decode(byte[] bytes, Function<FieldReader, T> decoder) {
    MessagePackCodec.checkLengths(bytes);
    return parse(bytes, 0, bytes.length, decoder);
  }

  /** Returns whether the record has a field. */
  public boolean has(String name) {
    return values.containsKey(name);
  }

  /** Returns an integer, or 0 if the field is missing. */
  public long number(String name) {
    return values.containsKey(name) ? value(name, MessageUnpacker::unpackLong) : 0;
  }

  /** Returns an integer of 32 bits, or 0 if the field is missing. */
  public int smallNumber(String name) {
    return values.containsKey(name) ? value(name, MessageUnpacker::unpackInt) : 0;
  }

  /** Returns a boolean, or false if the field is missing. */
  public boolean flag(String name) {
    return values.containsKey(name) && value(name, MessageUnpacker::unpackBoolean);
  }

  /** Returns a string that must be present. */
  public String text(String name) {
    return value(name, MessageUnpacker::unpackString);
  }

  /** Returns a string, or null if the field is missing or null. */
  public @Nullable String optionalText(String name) {
    return values.containsKey(name)
        ? value(name, u -> u.tryUnpackNil() ? null : u.unpackString())
        : null;
  }

  /** Returns bytes that must be present. */
  public byte[] bytes(String name) {
    return value(name, u -> u.readPayload(u.unpackBinaryHeader()));
  }

  /** Returns a list of strings, or an empty one if the field is missing. */
  public List<String> optionalTexts(String name) {
    return values.containsKey(name) ? texts(name) : List.of();
  }

  /** Returns a list of strings that must be present. */
  public List<String> texts(String name) {
    return value(
        name,
        u -> {
          List<String> out = new ArrayList<>();
          for (int n = u.unpackArrayHeader(); n > 0; n--) {
            out.add(u.unpackString());
          }
          return out;
        });
  }

  /** Returns a map of strings that must be present, sorted by key. */
  public Map<String, String> textMap(String name) {
    return value(
        name,
        u -> {
          Map<String, String> out = new TreeMap<>();
          for (int n = u.unpackMapHeader(); n > 0; n--) {
            out.put(u.unpackString(), u.unpackString());
          }
          return out;
        });
  }

  /** Returns a nested record that must be present. */
  public <T> T record(String name, Function<FieldReader, T> decoder) {
    Span s = span(name);
    return parse(bytes, s.from(), s.to(), decoder);
  }

  /** Returns a list of nested records that must be present. */
  public <T> List<T> records(String name, Function<FieldReader, T> decoder) {
    int base = span(name).from();
    return value(
        name,
        u -> {
          List<T> out = new ArrayList<>();
          for (int n = u.unpackArrayHeader(); n > 0; n--) {
            int from = base + (int) u.getTotalReadBytes();
            u.skipValue();
            out.add(parse(bytes, from, base + (int) u.getTotalReadBytes(), decoder));
          }
          return out;
        });
  }

  private Span span(String name) {
    Span s = values.get(name);
    if (s == null) {
      throw new EbonypondException(ErrorCode.FRAME_INVALID, "the field " + name + " is missing");
    }
    return s;
  }

  private <T> T value(String name, Unpacking<T> unpacking) {
    Span s = span(name);
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes, s.from(), s.to() - s.from())) {
      return unpacking.unpack(u);
    } catch (IOException | MessagePackException e) {
      throw invalid(e);
    }
  }

  private static <T> T parse(byte[] bytes, int from, int to, Function<FieldReader, T> decoder) {
    FieldReader r;
    try {
      r = new FieldReader(bytes, from, to);
    } catch (IOException | MessagePackException e) {
      throw invalid(e);
    }
    return decoder.apply(r);
  }

  private static EbonypondException invalid(Exception e) {
    return new EbonypondException(e, ErrorCode.FRAME_INVALID, String.valueOf(e.getMessage()));
  }

  private record Span(int from, int to) {}

  @FunctionalInterface
  private interface Unpacking<T> {
    T unpack(MessageUnpacker u) throws IOException;
  }
}
