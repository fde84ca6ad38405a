package org.ebonypond.ledger;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/** Computes the digest by which the ledger compares calls that use the same key. */
public final class RequestDigest {
  /** 128 bits keep records small and suffice because callers do not attack their own keys. */
  private static final int BYTES = 16;

  private RequestDigest() {}

  /**
   * Returns the digest of a call.
   *
   * @param method the HTTP method
   * @param path the path with the query
   * @param body the request body
   */
  public static String of(String method, String path, byte[] body) {
    MessageDigest d = sha256();
    add(d, method.getBytes(StandardCharsets.UTF_8));
    add(d, path.getBytes(StandardCharsets.UTF_8));
    add(d, body);
    byte[] prefix = Arrays.copyOf(d.digest(), BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(prefix);
  }

  private static void add(MessageDigest digest, byte[] part) {
    digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(part.length).flip());
    digest.update(part);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform provides SHA-256", e);
    }
  }
}
