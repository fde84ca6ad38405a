package org.ebonypond.server.replica;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Semaphore;
import org.ebonypond.consensus.Disk;
import org.ebonypond.junit.consensus.MemoryDisk;

/** A disk in memory whose syncs wait while it is blocked. */
final class BlockingDisk implements Disk {
  private final MemoryDisk disk = new MemoryDisk();
  private final Semaphore gate = new Semaphore(1);
  private final Semaphore waiting = new Semaphore(0);
  private volatile boolean failing;

  /** Makes syncs wait from now on. */
  void block() throws InterruptedException {
    gate.acquire();
  }

  /** Lets syncs go on. */
  void unblock() {
    gate.release();
  }

  /** Returns after a sync has started, at most one call for each. */
  void awaitBlocked() throws InterruptedException {
    waiting.acquire();
  }

  /** Makes every sync fail from now on. */
  void failSyncs() {
    failing = true;
  }

  int syncs() {
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
    if (failing) {
      throw new IOException("sync failed as requested by the test");
    }
    if (gate.availablePermits() == 0) {
      waiting.release();
    }
    gate.acquireUninterruptibly();
    gate.release();
    disk.sync(file);
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    disk.replace(file, content);
  }

  @Override
  public void note(String file, byte[] content) {
    disk.note(file, content);
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
