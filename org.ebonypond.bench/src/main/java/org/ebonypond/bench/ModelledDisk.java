package org.ebonypond.bench;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.ebonypond.consensus.Disk;
import org.ebonypond.junit.consensus.MemoryDisk;

/**
 * A disk in memory on which each sync takes a fixed time, to compare ways of syncing without the
 * noise of a shared disk.
 */
final class ModelledDisk implements Disk {
  private final MemoryDisk disk = new MemoryDisk();
  private final long syncMillis;

  ModelledDisk(long syncMillis) {
    this.syncMillis = syncMillis;
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
    pause();
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    disk.replace(file, content);
    pause();
  }

  @Override
  public void note(String file, byte[] content) {
    disk.note(file, content);
  }

  @Override
  public void truncate(String file, long length) throws IOException {
    disk.truncate(file, length);
    pause();
  }

  @Override
  public void delete(String file) throws IOException {
    disk.delete(file);
  }

  @Override
  public void close() {}

  private void pause() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(syncMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
