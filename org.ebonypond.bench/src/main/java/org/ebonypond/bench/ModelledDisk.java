package org.ebonypond.bench;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.ebonypond.junit.consensus.WrappedDisk;

/**
 * An in-memory disk on which each sync takes a fixed time. Sync strategies are compared on it
 * without the variance of a shared disk.
 */
final class ModelledDisk extends WrappedDisk {
  private final long syncMillis;

  ModelledDisk(long syncMillis) {
    this.syncMillis = syncMillis;
  }

  @Override
  public void sync(String file) throws IOException {
    super.sync(file);
    delaySync();
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    super.replace(file, content);
    delaySync();
  }

  @Override
  public void truncate(String file, long length) throws IOException {
    super.truncate(file, length);
    delaySync();
  }

  private void delaySync() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(syncMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
