package org.ebonypond.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.ebonypond.control.ControlView;
import org.ebonypond.control.GroupMember;
import org.ebonypond.control.InstanceRecord;

/**
 * The instances that this entry avoids before the control view shows them as down, because a
 * connection failed or an answer carried another boot identity. An instance is used again once the
 * view shows a new boot or the suspected boot is confirmed to be up. Thread-safe.
 */
public final class LocalSuspicion {
  private record Key(String instance, String boot) {}

  private final Map<Key, Suspicion> byBoot = new ConcurrentHashMap<>();

  /**
   * A suspected instance.
   *
   * @param instance the instance's name
   * @param boot the boot identity that is suspected to be down
   * @param sinceMillis the time of the last failure, in milliseconds of the entry's clock
   */
  public record Suspicion(String instance, String boot, long sinceMillis) {}

  /**
   * Suspects a boot of an instance. A suspicion of a boot that is not in the control view is
   * removed with the next view.
   *
   * @return whether the suspicion is new, so that the caller reports it only once
   */
  public boolean suspect(String instance, String boot, long nowMillis) {
    Suspicion s = new Suspicion(instance, boot, nowMillis);
    return byBoot.put(new Key(instance, boot), s) == null;
  }

  /**
   * Suspects the expected boot if an answer carries another boot identity.
   *
   * @return whether the suspicion is new
   */
  public boolean onAnswer(String instance, String expected, String seen, long nowMillis) {
    return !expected.equals(seen) && suspect(instance, expected, nowMillis);
  }

  /**
   * Ends the suspicion of a boot that was observed to be up.
   *
   * @param instance the instance's name
   * @param boot the observed boot identity
   * @param observedAtMillis a time at which the boot was certainly up, in milliseconds of the
   *     entry's clock: when the answered probe was sent, or the arrival time of the announcement
   *     minus its age. Observations from before the last failure have no effect.
   */
  public void confirmUp(String instance, String boot, long observedAtMillis) {
    byBoot.computeIfPresent(
        new Key(instance, boot), (k, s) -> observedAtMillis > s.sinceMillis() ? null : s);
  }

  /**
   * Removes the suspicions of instances that the view does not contain or shows with a new boot.
   */
  public void onView(ControlView view) {
    byBoot
        .values()
        .removeIf(
            s -> {
              InstanceRecord i = view.instances().get(s.instance());
              return i == null || !i.boot().equals(s.boot());
            });
  }

  /** Returns whether a boot of an instance is suspected. */
  public boolean isSuspected(String instance, String boot) {
    return byBoot.containsKey(new Key(instance, boot));
  }

  /** Returns whether a member of a target is suspected. */
  public boolean isSuspected(Target t) {
    if (byBoot.isEmpty()) {
      return false;
    }
    for (GroupMember m : t.members()) {
      if (isSuspected(m.instance(), m.boot())) {
        return true;
      }
    }
    return false;
  }

  /** Returns the suspected instances, which the entry probes. */
  public List<Suspicion> suspected() {
    return new ArrayList<>(byBoot.values());
  }
}
