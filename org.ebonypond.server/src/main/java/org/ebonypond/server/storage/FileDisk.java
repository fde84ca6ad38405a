package org.ebonypond.server.storage;

import static java.nio.file.StandardOpenOption.APPEND;
import static java.nio.file.StandardOpenOption.CREATE;
import static java.nio.file.StandardOpenOption.READ;
import static java.nio.file.StandardOpenOption.TRUNCATE_EXISTING;
import static java.nio.file.StandardOpenOption.WRITE;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.stream.Stream;
import org.ebonypond.consensus.Disk;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A folder in the file system, locked against other processes. Calls must be serialized. */
public final class FileDisk implements Disk {
  private static final Logger LOG = LoggerFactory.getLogger(FileDisk.class);
  private static final String LOCK = ".lock";
  private static final String TEMPORARY = ".tmp";

  private final Path folder;
  private final FileChannel lock;
  private @Nullable FileChannel channel;
  private String channelFile = "";
  private boolean created;

  /**
   * Opens a folder, which is created if it is missing.
   *
   * @throws IOException if the folder cannot be created, or is in use
   */
  public FileDisk(Path folder) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    lock = FileChannel.open(folder.resolve(LOCK), CREATE, WRITE);
    try {
      if (lock.tryLock() == null) {
        throw new OverlappingFileLockException();
      }
    } catch (OverlappingFileLockException e) {
      lock.close();
      throw new IOException("folder " + folder + " is in use by another replica", e);
    }
    Path parent = folder.toAbsolutePath().getParent();
    if (parent != null) {
      syncDirectory(parent);
    }
  }

  @Override
  public List<String> list() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(f -> f.getFileName().toString())
          .filter(n -> !n.equals(LOCK) && !n.endsWith(TEMPORARY))
          .sorted()
          .toList();
    } catch (UncheckedIOException e) {
      // The stream of names is read lazily.
      throw e.getCause();
    }
  }

  @Override
  public byte[] read(String file) throws IOException {
    return Files.readAllBytes(folder.resolve(file));
  }

  @Override
  public void append(String file, byte[] data) throws IOException {
    writeAll(open(file), data);
  }

  @Override
  public void sync(String file) throws IOException {
    open(file).force(false);
    if (created) {
      syncFolder();
      created = false;
    }
  }

  @Override
  public void syncFolder() throws IOException {
    syncDirectory(folder);
  }

  @Override
  public void replace(String file, byte[] content) throws IOException {
    Path temporary = folder.resolve(file + TEMPORARY);
    try (FileChannel c = FileChannel.open(temporary, CREATE, WRITE, TRUNCATE_EXISTING)) {
      writeAll(c, content);
      c.force(true);
    }
    Files.move(temporary, folder.resolve(file), StandardCopyOption.ATOMIC_MOVE);
    syncFolder();
  }

  @Override
  public void writeBestEffort(String file, byte[] content) {
    Path path = folder.resolve(file);
    boolean isNew = !Files.exists(path);
    try (FileChannel c = FileChannel.open(path, CREATE, WRITE)) {
      writeAll(c, content);
      c.force(false);
      if (isNew) {
        syncFolder();
      }
    } catch (IOException e) {
      LOG.atInfo().addKeyValue("file", file).setCause(e).log("best-effort write failed");
    }
  }

  @Override
  public void truncate(String file, long length) throws IOException {
    closeChannel();
    try (FileChannel c = FileChannel.open(folder.resolve(file), WRITE)) {
      c.truncate(length);
      c.force(true);
    }
  }

  @Override
  public void delete(String file) throws IOException {
    if (file.equals(channelFile)) {
      closeChannel();
    }
    Files.delete(folder.resolve(file));
    syncFolder();
  }

  @Override
  public void close() {
    try {
      closeChannel();
      lock.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the channel for appending to a file; only one is open at a time. */
  private FileChannel open(String file) throws IOException {
    FileChannel c = channel;
    if (c != null && file.equals(channelFile)) {
      return c;
    }
    closeChannel();
    Path path = folder.resolve(file);
    created = !Files.exists(path);
    c = FileChannel.open(path, CREATE, WRITE, APPEND);
    channel = c;
    channelFile = file;
    return c;
  }

  private void closeChannel() throws IOException {
    FileChannel c = channel;
    channel = null;
    channelFile = "";
    if (c != null) {
      c.close();
    }
  }

  private static void writeAll(FileChannel c, byte[] data) throws IOException {
    ByteBuffer b = ByteBuffer.wrap(data);
    while (b.hasRemaining()) {
      c.write(b);
    }
  }

  private static void syncDirectory(Path path) throws IOException {
    try (FileChannel c = FileChannel.open(path, READ)) {
      c.force(true);
    }
  }
}
