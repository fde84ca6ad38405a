package org.ebonypond.server.fleet;

import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.serving.ServingConfig;
import org.jspecify.annotations.Nullable;

/**
 * Decodes configurations outside of the event loop. A configuration of some hundred kilobytes takes
 * a slow processor seconds, in which the process must answer its peers. The last one that was
 * decoded is kept: an operator sends it again if an acknowledgement is lost, and a replica that
 * validated it also applies it. Thread-safe.
 */
public final class ConfigLoader {
  private final ConfigSource source;
  private final Executor executor;
  private volatile @Nullable Loaded last;

  /**
   * Creates a loader.
   *
   * @param source decodes a configuration
   * @param executor runs the decoding, one configuration after the other
   */
  public ConfigLoader(ConfigSource source, Executor executor) {
    this.source = source;
    this.executor = executor;
  }

  /**
   * Decodes a configuration.
   *
   * @param content returns the content; called on the executor
   * @return fails with {@code document-bad-value} if the content is not a valid configuration
   */
  public CompletableFuture<ServingConfig> load(Supplier<byte[]> content) {
    CompletableFuture<ServingConfig> loaded = new CompletableFuture<>();
    executor.execute(
        () -> {
          try {
            loaded.complete(decode(content.get()));
          } catch (EbonypondException e) {
            loaded.completeExceptionally(e);
          } catch (RuntimeException | StackOverflowError e) {
            loaded.completeExceptionally(new IllegalStateException("decoding failed", e));
          }
        });
    return loaded;
  }

  private ServingConfig decode(byte[] content) {
    Loaded known = last;
    if (known != null && Arrays.equals(known.content(), content)) {
      return known.config();
    }
    ServingConfig c = source.decode(content);
    last = new Loaded(content, c);
    return c;
  }

  private record Loaded(byte[] content, ServingConfig config) {}
}
