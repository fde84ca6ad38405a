package org.ebonypond.bench;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.ebonypond.junit.consensus.WrappedDisk;

/**
 * A disk in memory on which each sync takes a fixed time, to compare ways of syncing without the
 * noise of a shared disk.
 */
final class ModelledDisk extends WrappedDisk {
  private final long syncMillis;

  ModelledDisk(long syncMillis) {
    this.syncMillis = syncMillis;
  }

  @Override
  public void sync(String file) throws IOException {
    super.sync(file);
    pause();
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    super.replace(file, content);
    pause();
  }

  @Override
  public void truncate(String file, long length) throws IOException {
    super.truncate(file, length);
    pause();
  }

  private void pause() throws IOException {
    try {
      TimeUnit.MILLISECONDS.sleep(syncMillis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }
}
