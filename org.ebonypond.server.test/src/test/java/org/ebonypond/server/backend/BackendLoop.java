package org.ebonypond.server.backend;

import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import java.util.concurrent.TimeUnit;
import org.ebonypond.server.http1.BackendPool;
import org.ebonypond.server.timer.EventLoopTimerService;
import org.ebonypond.time.TimerService;

/** Clients of backend servers on an event loop of their own. */
final class BackendLoop implements AutoCloseable {
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final BackendHttpClient http;

  BackendLoop() {
    EventLoop loop = loops.next();
    TimerService timers = new EventLoopTimerService(loop);
    http =
        new BackendHttpClient(loop, new BackendPool(loop, timers, CONNECT_TIMEOUT_MILLIS), timers);
  }

  EngineClient engines() {
    return new HttpEngineClient(http);
  }

  EngineAdmin admin() {
    return new HttpEngineAdmin(http);
  }

  ServiceClient services() {
    return new HttpServiceClient(http, 1 << 20);
  }

  @Override
  public void close() {
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }
}
