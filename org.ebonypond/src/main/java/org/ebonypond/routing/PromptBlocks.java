package org.ebonypond.routing;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;

/**
 * The chained hashes of the complete blocks at the start of a prompt: hash i covers blocks 0 to i.
 * Two prompts share hash i exactly when they agree in their first i + 1 blocks, up to collisions of
 * 64 bits.
 */
public final class PromptBlocks {
  /** The length of a block in bytes of UTF-8, about 64 tokens. */
  public static final int BLOCK_BYTES = 256;

  /** The maximum number of blocks that are hashed, which bounds the work for a long prompt. */
  public static final int MAX_BLOCKS = 128;

  /** The empty prefix, for plain calls. */
  public static final PromptBlocks NONE = new PromptBlocks(new long[0]);

  private final long[] hashes;

  private PromptBlocks(long[] hashes) {
    this.hashes = hashes;
  }

  /** Returns the blocks of a prompt text; an incomplete last block is left out. */
  public static PromptBlocks of(String prompt) {
    byte[] b = prompt.getBytes(StandardCharsets.UTF_8);
    int n = Math.min(MAX_BLOCKS, b.length / BLOCK_BYTES);
    if (n == 0) {
      return NONE;
    }
    MessageDigest digest = sha256();
    long[] out = new long[n];
    for (int i = 0; i < n; i++) {
      digest.update(b, i * BLOCK_BYTES, BLOCK_BYTES);
      out[i] = ByteBuffer.wrap(copy(digest)).getLong();
    }
    return new PromptBlocks(out);
  }

  /** Creates blocks from hashes that are already chained, for traces and simulations. */
  public static PromptBlocks ofHashes(long... hashes) {
    return new PromptBlocks(hashes.clone());
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java platform lacks SHA-256, which it must provide", e);
    }
  }

  private static byte[] copy(MessageDigest digest) {
    try {
      return ((MessageDigest) digest.clone()).digest();
    } catch (CloneNotSupportedException e) {
      throw new IllegalStateException(
          "the SHA-256 implementation of the platform is not cloneable", e);
    }
  }

  /** Returns the number of blocks. */
  public int size() {
    return hashes.length;
  }

  /** Returns the chained hash of blocks 0 to i. */
  public long hash(int i) {
    return hashes[i];
  }

  @Override
  public boolean equals(Object o) {
    return o instanceof PromptBlocks p && Arrays.equals(hashes, p.hashes);
  }

  @Override
  public int hashCode() {
    return Arrays.hashCode(hashes);
  }
}
