package org.ebonypond.server.replica;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import org.ebonypond.junit.consensus.WrappedDisk;

/** An in-memory disk whose syncs wait while it is blocked. */
final class BlockingDisk extends WrappedDisk {
  private final Semaphore gate = new Semaphore(1);
  private final Semaphore waiting = new Semaphore(0);
  private volatile boolean failing;

  /** Makes syncs wait from now on. */
  void block() throws InterruptedException {
    gate.acquire();
  }

  /** Lets syncs continue. */
  void unblock() {
    gate.release();
  }

  /** Waits until a sync is blocked; each blocked sync ends one call. */
  void awaitBlocked() throws InterruptedException {
    waiting.acquire();
  }

  /** Makes every sync fail from now on. */
  void failSyncs() {
    failing = true;
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
    super.sync(file);
  }
}
