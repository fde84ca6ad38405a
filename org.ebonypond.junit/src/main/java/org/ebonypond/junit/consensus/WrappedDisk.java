package org.ebonypond.junit.consensus;

import java.io.IOException;
import java.util.List;
import org.ebonypond.consensus.Disk;

/** Delegates to a {@link MemoryDisk}; subclasses override single operations. */
public abstract class WrappedDisk implements Disk {
  private final MemoryDisk disk = new MemoryDisk();

  /** Returns the number of successful syncs and replacements. */
  public int syncs() {
    return disk.syncs();
  }

  @Override
  public List<String> list() {
    return disk.list();
  }

  @Override
  public byte[] read(String file) throws IOException {
    return disk.read(file);
  }

  @Override
  public void append(String file, byte[] data) {
    disk.append(file, data);
  }

  @Override
  public void sync(String file) throws IOException {
    disk.sync(file);
  }

  @Override
  public void syncFolder() throws IOException {
    disk.syncFolder();
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    disk.replace(file, content);
  }

  @Override
  public void writeBestEffort(String file, byte[] content) {
    disk.writeBestEffort(file, content);
  }

  @Override
  public void truncate(String file, long length) throws IOException {
    disk.truncate(file, length);
  }

  @Override
  public void delete(String file) throws IOException {
    disk.delete(file);
  }

  @Override
  public void close() {}
}
