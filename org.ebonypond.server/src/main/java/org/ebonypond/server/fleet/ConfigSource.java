package org.ebonypond.server.fleet;

import org.ebonypond.serving.ServingConfig;

/** Decodes the configuration that operators install. */
public interface ConfigSource {
  /**
   * Decodes a configuration.
   *
   * @throws org.ebonypond.errors.EbonypondException {@code document-bad-value} if the content is
   *     not a valid configuration
   */
  ServingConfig decode(byte[] content);
}
