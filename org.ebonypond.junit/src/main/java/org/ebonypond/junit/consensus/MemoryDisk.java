package org.ebonypond.junit.consensus;

import java.io.IOException;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import org.ebonypond.consensus.Disk;
import org.jspecify.annotations.Nullable;

/**
 * An in-memory disk that loses unsynced data in a loss of power ({@link #crash}). A process that is
 * only killed leaves them readable, and still not durable, for the next one that opens the disk.
 */
public final class MemoryDisk implements Disk {
  private final Map<String, FileContent> files = new TreeMap<>();

  /** The durable versions of replaced files, while the folder has not been synced. */
  private final Map<String, Optional<FileContent>> replaced = new HashMap<>();

  private boolean interruptsReplacement;
  private boolean failsSyncs;
  private int syncsBeforeFailure = Integer.MAX_VALUE;
  private int syncs;
  private long version;

  @Override
  public List<String> list() {
    return List.copyOf(files.keySet());
  }

  @Override
  public byte[] read(String file) throws IOException {
    return Arrays.copyOf(requireFile(file).bytes, requireFile(file).length);
  }

  @Override
  public void append(String file, byte[] data) {
    files.computeIfAbsent(file, f -> new FileContent()).append(data);
  }

  @Override
  public void sync(String file) throws IOException {
    failIfRequested();
    FileContent c = requireFile(file);
    c.synced = c.length;
    c.durable = true;
    syncs++;
    version++;
  }

  @Override
  public void syncFolder() throws IOException {
    failIfRequested();
    replaced.clear();
    syncs++;
    version++;
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    failIfRequested();
    FileContent c = new FileContent();
    c.append(content);
    c.synced = c.length;
    c.durable = true;
    FileContent old = files.put(file, c);
    if (interruptsReplacement) {
      interruptsReplacement = false;
      replaced.putIfAbsent(file, Optional.ofNullable(old));
      throw new IOException("interrupted before the folder was synced, as requested by the test");
    }
    replaced.clear();
    syncs++;
    version++;
  }

  @Override
  public void writeBestEffort(String file, byte[] content) {
    FileContent c = new FileContent();
    c.append(content);
    if (!failsSyncs) {
      c.synced = c.length;
      c.durable = true;
    }
    files.put(file, c);
    version++;
  }

  @Override
  public void truncate(String file, long length) throws IOException {
    FileContent c = requireFile(file);
    c.length = Math.toIntExact(length);
    c.synced = c.length;
    version++;
  }

  @Override
  public void delete(String file) throws IOException {
    requireFile(file);
    files.remove(file);
    version++;
  }

  @Override
  public void close() {}

  /** Makes every later sync and replacement fail until the next crash. */
  public void failSyncs() {
    failsSyncs = true;
  }

  /** Lets a number of syncs and replacements succeed and later ones fail until the next crash. */
  public void failSyncsAfter(int count) {
    syncsBeforeFailure = count;
  }

  /** Makes the next replacement fail when the new file is visible and not durable yet. */
  public void interruptNextReplacement() {
    interruptsReplacement = true;
  }

  /** Makes syncs succeed again. */
  public void allowSyncs() {
    failsSyncs = false;
    syncsBeforeFailure = Integer.MAX_VALUE;
  }

  /** Returns a version that increases whenever the durable content may have changed. */
  public long version() {
    return version;
  }

  /** Returns a disk with the content that would survive a crash now. */
  public MemoryDisk durableCopy() {
    MemoryDisk copy = new MemoryDisk();
    durableNames()
        .forEach(
            (name, c) -> {
              if (c.durable) {
                FileContent d = new FileContent();
                d.append(Arrays.copyOf(c.bytes, c.synced));
                d.synced = c.synced;
                d.durable = true;
                copy.files.put(name, d);
              }
            });
    return copy;
  }

  private Map<String, FileContent> durableNames() {
    Map<String, FileContent> out = new TreeMap<>(files);
    replaced.forEach(
        (name, old) -> old.ifPresentOrElse(c -> out.put(name, c), () -> out.remove(name)));
    return out;
  }

  /** Returns the number of successful syncs and replacements. */
  public int syncs() {
    return syncs;
  }

  /**
   * Discards unsynced data.
   *
   * @param random if not null, a random prefix of the unsynced bytes of each file survives, and
   *     sometimes one bit of them is flipped
   */
  public void crash(@Nullable RandomGenerator random) {
    allowSyncs();
    version++;
    Map<String, FileContent> surviving = durableNames();
    files.clear();
    files.putAll(surviving);
    replaced.clear();
    for (FileContent c : files.values()) {
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

  /** Flips one bit of the byte at a position of a file. */
  public void flipBit(String file, int position) throws IOException {
    requireFile(file).bytes[position] ^= 1;
  }

  /** Deletes all files. */
  public void wipe() {
    allowSyncs();
    version++;
    files.clear();
    replaced.clear();
  }

  private void failIfRequested() throws IOException {
    if (failsSyncs || syncsBeforeFailure-- <= 0) {
      throw new IOException("sync failed as requested by the test");
    }
  }

  private FileContent requireFile(String file) throws IOException {
    FileContent c = files.get(file);
    if (c == null) {
      throw new IOException("no such file: " + file);
    }
    return c;
  }

  /** The content of a file and the length of its synced prefix. */
  private static final class FileContent {
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
