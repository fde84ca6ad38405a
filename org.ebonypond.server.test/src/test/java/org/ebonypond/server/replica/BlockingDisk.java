package org.ebonypond.server.replica;

import java.io.IOException;
import java.util.concurrent.Semaphore;
import org.ebonypond.junit.consensus.WrappedDisk;

/** An in-memory disk whose syncs wait while it is blocked. */
final class BlockingDisk extends WrappedDisk {
  private final Semaphore syncPermit = new Semaphore(1);
  private final Semaphore blockedSyncs = new Semaphore(0);
  private volatile boolean failing;

  /** Makes syncs wait from now on. */
  void block() throws InterruptedException {
    syncPermit.acquire();
  }

  /** Lets syncs continue. */
  void unblock() {
    syncPermit.release();
  }

  /** Waits until a sync is blocked; each blocked sync ends one call. */
  void awaitBlocked() throws InterruptedException {
    blockedSyncs.acquire();
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
    if (syncPermit.availablePermits() == 0) {
      blockedSyncs.release();
    }
    syncPermit.acquireUninterruptibly();
    syncPermit.release();
    super.sync(file);
  }
}
