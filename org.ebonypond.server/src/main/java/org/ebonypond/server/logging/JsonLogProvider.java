package org.ebonypond.server.logging;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * Starts Logback with the configuration of {@link JsonLog} only. Logback's own initialization looks
 * for configuration files and records status messages, which takes 60 ms of CPU time: a quarter of
 * a second on a machine with a fifth of a processor.
 */
public final class JsonLogProvider implements SLF4JServiceProvider {
  /** The system property that names the provider, so that SLF4J does not search for one. */
  private static final String PROVIDER = "slf4j.provider";

  /** The system property that suppresses SLF4J's message about the provider, which is not JSON. */
  private static final String VERBOSITY = "slf4j.internal.verbosity";

  private static final String SLF4J_VERSION = "2.0.99";

  private final LoggerContext context = new LoggerContext();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final LogbackMDCAdapter mdc = new LogbackMDCAdapter();

  /** Selects this provider; call before the first logger of the process is created. */
  public static void select() {
    System.setProperty(PROVIDER, JsonLogProvider.class.getName());
    System.setProperty(VERBOSITY, "WARN");
  }

  @Override
  public void initialize() {
    context.setName("default");
    context.setMDCAdapter(mdc);
    JsonLog.configure(context);
    context.start();
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return context;
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return mdc;
  }

  @Override
  public String getRequestedApiVersion() {
    return SLF4J_VERSION;
  }
}
