package org.ebonypond.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes records as MessagePack. Sealed interfaces carry {@code @JsonTypeInfo}. Unknown fields are
 * ignored, so that processes of consecutive versions are compatible during an upgrade.
 */
public final class MessagePackCodec {
  private MessagePackCodec() {}

  /**
   * Encodes a value.
   *
   * @throws EbonypondException {@code frame-invalid} if the type cannot be encoded
   */
  public static byte[] encode(Object value) {
    try {
      return Mapper.INSTANCE.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, e.getOriginalMessage());
    }
  }

  /**
   * Decodes a value.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid encoding of the
   *     type
   */
  public static <T> T decode(byte[] bytes, Class<T> type) {
    checkLengths(bytes);
    try {
      return Mapper.INSTANCE.readValue(bytes, type);
    } catch (IOException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, String.valueOf(e.getMessage()));
    }
  }

  /**
   * Rejects a value with a length prefix beyond the end of the bytes, since the parser would
   * allocate that length before reading.
   *
   * @throws EbonypondException {@code frame-invalid} if the value is truncated or malformed
   */
  public static void checkLengths(byte[] bytes) {
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
      u.skipValue();
    } catch (IOException | MessagePackException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, String.valueOf(e.getMessage()));
    }
  }

  /** Created on first use, since it takes 80 ms of CPU time, see {@link FieldWriter}. */
  private static final class Mapper {
    static final ObjectMapper INSTANCE =
        MessagePackMapper.builder()
            .defaultPropertyInclusion(
                JsonInclude.Value.construct(
                    JsonInclude.Include.NON_NULL, JsonInclude.Include.ALWAYS))
            .configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false)
            .build();
  }
}
