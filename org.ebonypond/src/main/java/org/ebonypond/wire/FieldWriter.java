package org.ebonypond.wire;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePacker;

/**
 * Encodes a record as a MessagePack map from field names to values, in the format of {@link
 * MessagePackCodec}. For records that a process needs right after its start: the introspection of
 * {@link MessagePackCodec} takes 80 ms of CPU time before the first record.
 */
public final class FieldWriter {
  private final MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
  private int fields;

  /** Writes an integer. */
  public FieldWriter number(String name, long value) {
    return field(name, p -> p.packLong(value));
  }

  /** Writes a boolean. */
  public FieldWriter flag(String name, boolean value) {
    return field(name, p -> p.packBoolean(value));
  }

  /** Writes a string; null omits the field. */
  public FieldWriter text(String name, @Nullable String value) {
    return value == null ? this : field(name, p -> p.packString(value));
  }

  /** Writes bytes. */
  public FieldWriter bytes(String name, byte[] value) {
    return field(name, p -> p.packBinaryHeader(value.length).writePayload(value));
  }

  /** Writes a list of strings. */
  public FieldWriter texts(String name, List<String> values) {
    return field(
        name,
        p -> {
          p.packArrayHeader(values.size());
          for (String v : values) {
            p.packString(v);
          }
        });
  }

  /** Writes a map of strings. */
  public FieldWriter textMap(String name, Map<String, String> values) {
    return field(
        name,
        p -> {
          p.packMapHeader(values.size());
          for (Map.Entry<String, String> e : values.entrySet()) {
            p.packString(e.getKey()).packString(e.getValue());
          }
        });
  }

  /** Writes a nested record. */
  public <T> FieldWriter record(String name, T value, BiConsumer<T, FieldWriter> encoder) {
    return field(name, p -> p.writePayload(encode(value, encoder)));
  }

  /** Writes a list of nested records. */
  public <T> FieldWriter records(String name, List<T> values, BiConsumer<T, FieldWriter> encoder) {
    return field(
        name,
        p -> {
          p.packArrayHeader(values.size());
          for (T v : values) {
            p.writePayload(encode(v, encoder));
          }
        });
  }

  /** Returns the encoded record. */
  public static <T> byte[] encode(T value, BiConsumer<T, FieldWriter> encoder) {
    FieldWriter w = new FieldWriter();
    encoder.accept(value, w);
    return w.toByteArray();
  }

  /** Returns the encoded record with the fields that were written. */
  public byte[] toByteArray() {
    try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
      out.packMapHeader(fields);
      out.writePayload(packer.toByteArray());
      return out.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
  }

  private FieldWriter field(String name, Packing value) {
    try {
      packer.packString(name);
      value.pack(packer);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    }
    fields++;
    return this;
  }

  @FunctionalInterface
  private interface Packing {
    void pack(MessagePacker p) throws IOException;
  }
}
