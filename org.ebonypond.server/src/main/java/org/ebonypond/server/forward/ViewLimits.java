package org.ebonypond.server.forward;

import org.ebonypond.server.fleet.FleetView;
import org.ebonypond.server.http1.LimitSource;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.time.TimerService;

/** The limits of the configuration in force. They are final while it is known to be the newest. */
public final class ViewLimits implements LimitSource {
  private final FleetView view;
  private final TimerService timers;
  private final ConfigAgeLimits configAges;

  /**
   * Creates the limits.
   *
   * @param view the entry's view of the fleet
   * @param timers provides the clock
   * @param configAges what may be done by a configuration that may be an old one
   */
  public ViewLimits(FleetView view, TimerService timers, ConfigAgeLimits configAges) {
    this.view = view;
    this.timers = timers;
    this.configAges = configAges;
  }

  @Override
  public ClientLimits limits() {
    return view.limits();
  }

  @Override
  public boolean areFinal() {
    // The newest version may be that there is none yet; the default limits are final for nobody.
    return view.config() != null
        && view.confirmedAt() >= timers.nowMillis() - configAges.confirmedMillis();
  }
}
