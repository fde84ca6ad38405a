package org.ebonypond.junit.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Generates the content of engine answers as a pure function of the request, so that tests and the
 * load tool can compute the expected answer.
 */
public final class EngineContent {
  private static final int PREFIX_BLOCK_BYTES = 256;
  private static final int DEFAULT_MAX_TOKENS = 32;

  private EngineContent() {}

  /** Returns the prompt of a completion request: a line {@code role: content} for each message. */
  public static String prompt(JsonNode request) {
    StringBuilder b = new StringBuilder();
    for (JsonNode m : request.path("messages")) {
      b.append(m.path("role").asText()).append(": ");
      b.append(m.path("content").asText()).append('\n');
    }
    return b.toString();
  }

  /** Returns the number of tokens of the answer to a request. */
  public static int length(JsonNode request) {
    return Math.max(0, request.path("max_tokens").asInt(DEFAULT_MAX_TOKENS));
  }

  /**
   * Returns the token at a position of the answer to a prompt.
   *
   * @param prompt the prompt
   * @param index the position of the token, from 0
   */
  public static String token(String prompt, int index) {
    long h = mix(hash(prompt) + 0x9E3779B97F4A7C15L * (index + 1L));
    return "t" + Long.toString(h >>> 24, 36) + " ";
  }

  /**
   * Returns a range of tokens of the answer to a prompt.
   *
   * @param prompt the prompt
   * @param from the first position, inclusive
   * @param to the last position, exclusive
   */
  public static String text(String prompt, int from, int to) {
    StringBuilder b = new StringBuilder();
    for (int i = from; i < to; i++) {
      b.append(token(prompt, i));
    }
    return b.toString();
  }

  /**
   * Returns the names of a prompt's prefixes in cache events. Name i is the first 64 bits, as 16
   * hexadecimal digits, of the SHA-256 hash of blocks 0 to i. A block is 256 bytes of UTF-8; an
   * incomplete last block has no name.
   */
  public static List<String> prefixes(String prompt) {
    byte[] text = prompt.getBytes(StandardCharsets.UTF_8);
    List<String> out = new ArrayList<>();
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      for (int end = PREFIX_BLOCK_BYTES; end <= text.length; end += PREFIX_BLOCK_BYTES) {
        digest.update(text, end - PREFIX_BLOCK_BYTES, PREFIX_BLOCK_BYTES);
        byte[] hash = ((MessageDigest) digest.clone()).digest();
        out.add(HexFormat.of().formatHex(hash, 0, Long.BYTES));
      }
    } catch (NoSuchAlgorithmException | CloneNotSupportedException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
    return out;
  }

  /** Returns the FNV-1a hash of a text in UTF-8, mixed so that every bit depends on every byte. */
  static long hash(String text) {
    long h = 0xcbf29ce484222325L;
    for (byte b : text.getBytes(StandardCharsets.UTF_8)) {
      h = (h ^ (b & 0xff)) * 0x100000001b3L;
    }
    return mix(h);
  }

  private static long mix(long v) {
    long h = (v ^ (v >>> 30)) * 0xBF58476D1CE4E5B9L;
    h = (h ^ (h >>> 27)) * 0x94D049BB133111EBL;
    return h ^ (h >>> 31);
  }
}
