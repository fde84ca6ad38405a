package org.ebonypond.server.forward;

import org.ebonypond.server.fleet.FleetView;
import org.ebonypond.server.http1.LimitSource;
import org.ebonypond.serving.ClientLimits;
import org.ebonypond.time.TimerService;

/** The limits of the configuration in force. They are final while it is known to be the newest. */
public final class ViewLimits implements LimitSource {
  private final FleetView view;
  private final TimerService timers;
  private final long maxConfigAgeMillis;

  /**
   * Creates the limits.
   *
   * @param view the entry's view of the fleet
   * @param timers provides the clock
   * @param maxConfigAgeMillis how long ago a configuration may have been the newest one, in
   *     milliseconds, for a refusal that the caller takes as final
   */
  public ViewLimits(FleetView view, TimerService timers, long maxConfigAgeMillis) {
    this.view = view;
    this.timers = timers;
    this.maxConfigAgeMillis = maxConfigAgeMillis;
  }

  @Override
  public ClientLimits limits() {
    return view.limits();
  }

  @Override
  public boolean areFinal() {
    return view.confirmedAt() >= timers.nowMillis() - maxConfigAgeMillis;
  }
}
