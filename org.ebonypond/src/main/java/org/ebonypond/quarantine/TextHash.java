package org.ebonypond.quarantine;

/** A hash of texts with 64 bits; the hash code of a string has too few to tell many parts apart. */
public final class TextHash {
  private static final long FNV_OFFSET = 0xCBF29CE484222325L;
  private static final long FNV_PRIME = 0x100000001B3L;

  private TextHash() {}

  /** Returns the FNV-1a hash of a text. */
  public static long of(String text) {
    long h = FNV_OFFSET;
    for (int i = 0; i < text.length(); i++) {
      h = (h ^ text.charAt(i)) * FNV_PRIME;
    }
    return h;
  }
}
