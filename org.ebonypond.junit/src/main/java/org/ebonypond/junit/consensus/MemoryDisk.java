package org.ebonypond.junit.consensus;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.Disk;
import org.jspecify.annotations.Nullable;

/** A disk in memory that loses what was not synced when its process crashes. */
public final class MemoryDisk implements Disk {
  private final Map<String, Content> files = new TreeMap<>();
  private boolean failing;
  private int syncsBeforeFailure = Integer.MAX_VALUE;
  private int syncs;
  private long version;

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public byte[] read(String file) throws IOException {
    return Arrays.copyOf(existing(file).bytes, existing(file).length);
  }

  @Override
  public void append(String file, byte[] data) {
    files.computeIfAbsent(file, f -> new Content()).append(data);
  }

  @Override
  public void sync(String file) throws IOException {
    failIfRequested();
    Content c = existing(file);
    c.synced = c.length;
    c.durable = true;
    syncs++;
    version++;
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    failIfRequested();
    Content c = new Content();
    c.append(content);
    c.synced = c.length;
    c.durable = true;
    files.put(file, c);
    syncs++;
    version++;
  }

  @Override
  public void writeBestEffort(String file, byte[] content) {
    Content c = new Content();
    c.append(content);
    if (!failing) {
      c.synced = c.length;
      c.durable = true;
    }
    files.put(file, c);
    version++;
  }

  @Override
  public void truncate(String file, long length) throws IOException {
    Content c = existing(file);
    c.length = Math.toIntExact(length);
    c.synced = c.length;
    version++;
  }

  @Override
  public void delete(String file) throws IOException {
    existing(file);
    files.remove(file);
    version++;
  }

  @Override
  public void close() {}

  /** Makes every sync and replacement fail from now on, until the next crash. */
  public void failSyncs() {
    failing = true;
  }

  /** Makes syncs and replacements fail after a number of them, until the next crash. */
  public void failSyncsAfter(int count) {
    syncsBeforeFailure = count;
  }

  /** Makes syncs succeed again. */
  public void allowSyncs() {
    failing = false;
    syncsBeforeFailure = Integer.MAX_VALUE;
  }

  /** Returns a number that grows whenever the durable content may have changed. */
  public long version() {
    return version;
  }

  /** Returns a disk with what would be left after a crash now. */
  public MemoryDisk durableCopy() {
    MemoryDisk copy = new MemoryDisk();
    files.forEach(
        (name, c) -> {
          if (c.durable) {
            Content d = new Content();
            d.append(Arrays.copyOf(c.bytes, c.synced));
            d.synced = c.synced;
            d.durable = true;
            copy.files.put(name, d);
          }
        });
    return copy;
  }

  /** Returns the number of syncs, replacements included. */
  public int syncs() {
    return syncs;
  }

  /**
   * Loses what was not synced.
   *
   * @param random if not null, a random prefix of the unsynced bytes survives, and sometimes one of
   *     these bytes is damaged
   */
  public void crash(@Nullable RandomGenerator random) {
    allowSyncs();
    version++;
    for (Content c : files.values()) {
      int unsynced = c.length - c.synced;
      int kept = random == null || unsynced == 0 ? 0 : random.nextInt(unsynced + 1);
      c.length = c.synced + kept;
      if (kept > 0 && random != null && random.nextBoolean()) {
        c.bytes[c.synced + random.nextInt(kept)] ^= 1;
      }
      c.durable |= kept > 0;
      c.synced = c.length;
    }
    files.values().removeIf(c -> !c.durable);
  }

  /** Inverts one bit of the byte at a position of a file. */
  public void flipBit(String file, int position) throws IOException {
    existing(file).bytes[position] ^= 1;
  }

  /** Loses everything. */
  public void wipe() {
    allowSyncs();
    version++;
    files.clear();
  }

  private void failIfRequested() throws IOException {
    if (failing || syncsBeforeFailure-- <= 0) {
      throw new IOException("sync failed as requested by the test");
    }
  }

  private Content existing(String file) throws IOException {
    Content c = files.get(file);
    if (c == null) {
      throw new IOException("no file " + file);
    }
    return c;
  }

  /** The bytes of a file. */
  private static final class Content {
    private byte[] bytes = new byte[64];
    private int length;
    private int synced;
    private boolean durable;

    void append(byte[] data) {
      if (length + data.length > bytes.length) {
        bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, length + data.length));
      }
      System.arraycopy(data, 0, bytes, length, data.length);
      length += data.length;
    }
  }
}
