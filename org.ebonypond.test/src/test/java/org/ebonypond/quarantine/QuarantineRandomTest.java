package org.ebonypond.quarantine;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;
import org.ebonypond.junit.Seeds;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Many entries, instances and requests on a manual clock. Some requests have a part that crashes
 * the instances that begin to write on it, in some runs only a part of them, or one or two requests
 * crash instances and come again; instances also crash by chance, and entries restart. Entries
 * exchange their reports through one replica.
 */
class QuarantineRandomTest {
  private static final long POISON = 0xBAD;
  private static final long END_MILLIS = 30_000;
  private static final long POISON_FROM_MILLIS = 4_000;

  /** The time within which all entries must act on new facts. */
  private static final long CONTACT_MILLIS = 3_000;

  private static final int TOLERATED_CRASHES = 5;
  private static final int TOLERATED_LATE = 3;
  private static final int MAX_ATTEMPTS = 2;

  /** The crash of a repeated request from which entries in touch must act. */
  private static final int TOLERATED_REQUEST_CRASHES = 3;

  private static final long REPEATING_END_MILLIS = 120_000;

  static LongStream seeds() {
    return Seeds.all();
  }

  /** Guards against harmful requests that are let through, and sound ones that are refused. */
  @ParameterizedTest
  @MethodSource("seeds")
  void harmfulRequestsAreRefusedAndSoundOnesAreServed(long seed) {
    Fleet f = new Fleet(new Random(seed));
    f.run(END_MILLIS);
    String what = f.describe();
    assertTrue(f.late <= TOLERATED_LATE, f.late + " harmful requests sent late; " + what);
    assertTrue(
        f.refused <= 5 + f.requests / 500,
        f.refused + " of " + f.requests + " sound requests refused; " + what);
  }

  /** Guards against requests that come again and again, and sound ones that are refused. */
  @ParameterizedTest
  @MethodSource("seeds")
  void repeatedRequestsThatCrashInstancesAreRefused(long seed) {
    Fleet f = new Fleet(new Random(seed));
    f.repeatHarmful();
    f.run(REPEATING_END_MILLIS);
    String what = f.describe();
    for (Repeated r : f.repeated) {
      assertTrue(r.late <= TOLERATED_LATE, r + " sent late; " + what);
    }
    assertTrue(
        f.refused <= 5 + f.requests / 500,
        f.refused + " of " + f.requests + " sound requests refused; " + what);
  }

  /** A request that crashes each instance and comes again. */
  private static final class Repeated {
    final RequestTraits traits;
    final long pauseMillis;
    int crashes;
    int late;
    long thirdCrashAt = Long.MAX_VALUE;

    Repeated(RequestTraits traits, long pauseMillis) {
      this.traits = traits;
      this.pauseMillis = pauseMillis;
    }

    @Override
    public String toString() {
      return late + " of the requests that come each " + pauseMillis + " ms";
    }
  }

  /** A request at an instance. */
  private record Sent(
      int entry, RequestTraits traits, int attempt, Instance instance, long beginsAt) {
    boolean hasHarmfulPart() {
      return traits.parts().contains(POISON);
    }
  }

  private static final class Instance {
    final String id;

    /** In the order of sending, so that a seed always gives the same run. */
    final Set<Sent> unanswered = new LinkedHashSet<>();

    long downUntil;

    Instance(String id) {
      this.id = id;
    }
  }

  private static final class Fleet {
    private final Random random;
    private final List<PartQuarantine> entries = new ArrayList<>();
    private final List<Instance> instances = new ArrayList<>();
    private final SuspicionTable replica = new SuspicionTable();
    private final PriorityQueue<Sent> begins =
        new PriorityQueue<>((a, b) -> Long.compare(a.beginsAt, b.beginsAt));
    private final long[] restartedAt;
    private final int subjects;
    private final double perSecond;
    private final double harmfulShare;
    private final double chanceCrashesPerSecond;
    private final double crashProbability;
    private final double restartsPerSecond;
    private final long pollMillis;
    private final long companion;
    private final List<Repeated> repeated = new ArrayList<>();
    private double harmfulPartShare;
    private long identity = 1L << 32;
    private long now;
    private int lives;
    private int harmfulCrashes;
    private long fifthCrashAt = Long.MAX_VALUE;
    private int late;
    private int refused;
    private int requests;

    Fleet(Random random) {
      this.random = random;
      int entryCount = 3 + random.nextInt(30);
      for (int i = 0; i < entryCount; i++) {
        entries.add(new PartQuarantine(new QuarantineListenerStub()));
      }
      restartedAt = new long[entryCount];
      int instanceCount = 8 + random.nextInt(24);
      for (int i = 0; i < instanceCount; i++) {
        instances.add(new Instance("i-" + lives++));
      }
      subjects = 5 + random.nextInt(200);
      perSecond = 40 + random.nextInt(200);
      harmfulShare = 0.005 + (random.nextInt(4) == 0 ? 0.3 : 0.1) * random.nextDouble();
      crashProbability = random.nextInt(4) == 0 ? 0.5 : 1;
      restartsPerSecond = random.nextInt(3) == 0 ? 0.3 : 0;
      chanceCrashesPerSecond = random.nextInt(3) == 0 ? 0.5 * random.nextDouble() : 0;
      pollMillis = 100 + random.nextInt(300);
      companion = 1 + subject();
      harmfulPartShare = harmfulShare;
    }

    /** Replaces the harmful part by requests that come again; two of them come together. */
    void repeatHarmful() {
      harmfulPartShare = 0;
      long pauseMillis = 100L << random.nextInt(8);
      int count = 1 + random.nextInt(2);
      for (int i = 0; i < count; i++) {
        repeated.add(new Repeated(new RequestTraits(identity++, List.of(companion)), pauseMillis));
      }
    }

    /** Returns a subject; low numbers are much more frequent. */
    private long subject() {
      return (long) (subjects * Math.pow(random.nextDouble(), 2));
    }

    String describe() {
      return entries.size()
          + " entries, "
          + instances.size()
          + " instances, "
          + subjects
          + " subjects, "
          + perSecond
          + " a second, harmful share "
          + harmfulShare
          + ", crashes by chance "
          + chanceCrashesPerSecond
          + ", probability "
          + crashProbability
          + ", restarts "
          + restartsPerSecond
          + ", companion "
          + companion
          + ", harmful crashes "
          + harmfulCrashes;
    }

    void run(long endMillis) {
      for (now = 0; now < endMillis; now += 10) {
        while (!begins.isEmpty() && begins.peek().beginsAt <= now) {
          begin(begins.poll());
        }
        if (happens(perSecond)) {
          arrive();
        }
        for (Repeated r : repeated) {
          if (now >= POISON_FROM_MILLIS && now % r.pauseMillis < 10) {
            send(random.nextInt(entries.size()), r.traits, 1);
          }
        }
        if (happens(chanceCrashesPerSecond)) {
          crash(instances.get(random.nextInt(instances.size())));
        }
        if (happens(restartsPerSecond)) {
          int e = random.nextInt(entries.size());
          entries.set(e, new PartQuarantine(new QuarantineListenerStub()));
          restartedAt[e] = now;
        }
        poll();
      }
    }

    private boolean happens(double rate) {
      return random.nextDouble() < rate / 100;
    }

    private void arrive() {
      boolean harmful = now >= POISON_FROM_MILLIS && random.nextDouble() < harmfulPartShare;
      List<Long> parts = harmful ? List.of(companion, POISON) : List.of(1 + subject());
      requests += harmful ? 0 : 1;
      send(random.nextInt(entries.size()), new RequestTraits(identity++, parts), 1);
    }

    private void send(int entry, RequestTraits traits, int attempt) {
      Repeated repetition = repetition(traits);
      boolean harmfulPart = traits.parts().contains(POISON);
      boolean harmful = harmfulPart || repetition != null;
      if (entries.get(entry).quarantined(traits, now) != null) {
        refused += harmful ? 0 : 1;
        return;
      }
      List<Instance> up = instances.stream().filter(i -> now >= i.downUntil).toList();
      if (up.isEmpty()) {
        return;
      }
      Instance i = up.get(random.nextInt(up.size()));
      // An entry that has just started is not held to what it cannot know yet.
      boolean inTouch = now - restartedAt[entry] > CONTACT_MILLIS;
      if (harmfulPart && inTouch && now - CONTACT_MILLIS > fifthCrashAt) {
        late++;
      }
      if (repetition != null && inTouch && now - CONTACT_MILLIS > repetition.thirdCrashAt) {
        repetition.late++;
      }
      long load = i.unanswered.size();
      long beginsAt = now + 50 + random.nextInt(150) + 40 * load;
      Sent s = new Sent(entry, traits, attempt, i, beginsAt);
      i.unanswered.add(s);
      begins.add(s);
    }

    private @Nullable Repeated repetition(RequestTraits traits) {
      return repeated.stream().filter(r -> r.traits.equals(traits)).findAny().orElse(null);
    }

    private void begin(Sent s) {
      if (!s.instance.unanswered.contains(s)) {
        return;
      }
      Repeated repetition = repetition(s.traits);
      if (repetition != null) {
        repetition.crashes++;
        if (repetition.crashes == TOLERATED_REQUEST_CRASHES) {
          repetition.thirdCrashAt = now;
        }
        crash(s.instance);
        return;
      }
      if (s.hasHarmfulPart() && random.nextDouble() < crashProbability) {
        harmfulCrashes++;
        if (harmfulCrashes == TOLERATED_CRASHES) {
          fifthCrashAt = now;
        }
        crash(s.instance);
        return;
      }
      s.instance.unanswered.remove(s);
      entries.get(s.entry).began(s.traits, now);
    }

    private void crash(Instance i) {
      if (now < i.downUntil) {
        return;
      }
      i.downUntil = now + 3_000;
      int index = instances.indexOf(i);
      Instance next = new Instance("i-" + lives++);
      next.downUntil = i.downUntil;
      instances.set(index, next);
      List<Sent> ended = List.copyOf(i.unanswered);
      i.unanswered.clear();
      ended.forEach(s -> entries.get(s.entry).crashed(i.id, 1, s.traits, now));
      for (Sent s : ended) {
        if (s.attempt < MAX_ATTEMPTS && !entries.get(s.entry).isSuspected(s.traits, now)) {
          send(s.entry, s.traits, s.attempt + 1);
        } else if (!repeated.isEmpty()
            && s.attempt < 2 * MAX_ATTEMPTS
            && repetition(s.traits) == null) {
          // The caller sends it again, to another entry.
          send(random.nextInt(entries.size()), s.traits, s.attempt + 1);
        }
      }
    }

    private void poll() {
      for (int e = 0; e < entries.size(); e++) {
        if ((now + 37L * e) % pollMillis < 10) {
          String name = "entry-" + e;
          replica.merge(name, entries.get(e).report(now), now);
          entries.get(e).merge(replica.report(r -> !r.equals(name), now), now);
        }
      }
    }
  }

  /** Ignores the decisions. */
  private static final class QuarantineListenerStub implements QuarantineListener {
    @Override
    public void blocked(Set<Long> parts, int crashes, long begun) {}

    @Override
    public void unblocked(Set<Long> parts) {}
  }
}
