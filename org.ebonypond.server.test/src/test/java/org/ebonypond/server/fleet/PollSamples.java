package org.ebonypond.server.fleet;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import org.ebonypond.fleet.FleetInstance;
import org.ebonypond.fleet.FleetPoll;
import org.ebonypond.fleet.FleetPollResult;
import org.ebonypond.fleet.GroupMembership;
import org.ebonypond.fleet.InstanceLoad;
import org.ebonypond.fleet.InstancePhase;
import org.ebonypond.fleet.InstanceUpdate;
import org.ebonypond.fleet.MemberState;
import org.ebonypond.fleet.NamedLimit;
import org.ebonypond.fleet.PollCodec;
import org.ebonypond.fleet.RelayAddress;
import org.ebonypond.fleet.RelayReport;
import org.ebonypond.fleet.UnchangedHeartbeat;
import org.ebonypond.quarantine.PartSuspicion;
import org.ebonypond.server.Sample;
import org.ebonypond.serving.Departure;
import org.ebonypond.serving.ServingState;
import org.jspecify.annotations.Nullable;

/** Polls of entries and replicas, and their results. */
public final class PollSamples {
  private static final List<InstanceLoad> LOADS =
      List.of(
          new InstanceLoad("i-1", 3, 2, 700, InstanceLoad.NEVER, 0),
          new InstanceLoad("i-2", 4, 0, 0, 20, 900));
  private static final List<PartSuspicion> SUSPICIONS =
      List.of(
          new PartSuspicion(
              Long.MIN_VALUE, 7, List.of(new PartSuspicion.Crash(-1, 12, 0.25)), 3, true, false),
          new PartSuspicion(5, 0, List.of(), 0, false, true));
  private static final List<NamedLimit> LIMITS = List.of(new NamedLimit("i-1", 8, 3.25, 40));
  private static final RelayAddress RELAY = new RelayAddress("10.0.0.9:7000", "z");

  private PollSamples() {}

  /** Returns the samples. */
  public static List<Sample> all() {
    FleetPoll full =
        new FleetPoll(
            "front-1",
            "10.0.0.1:7000",
            7,
            -1,
            Long.MAX_VALUE,
            12,
            true,
            false,
            99,
            LOADS,
            SUSPICIONS,
            LIMITS,
            new RelayReport(RELAY, true));
    FleetPoll empty =
        new FleetPoll("core-1", "", 0, 0, 0, 0, false, true, 0, List.of(), List.of(), List.of());
    FleetPollResult unconfirmed =
        new FleetPollResult(
            1,
            2,
            3,
            4,
            false,
            null,
            List.of(),
            List.of(),
            null,
            1,
            0,
            List.of(),
            null,
            List.of(),
            List.of(),
            FleetPollResult.UNCONFIRMED);
    return List.of(
        poll("poll", full),
        poll("poll-empty", empty),
        result("result", fullResult()),
        result("result-empty", unconfirmed));
  }

  private static Sample poll(String name, FleetPoll p) {
    return new Sample(
        name, PollCodec.encodePoll(p), b -> PollCodec.encodePoll(PollCodec.decodePoll(b)));
  }

  private static Sample result(String name, FleetPollResult r) {
    return new Sample(
        name, PollCodec.encodeResult(r), b -> PollCodec.encodeResult(PollCodec.decodeResult(b)));
  }

  private static FleetPollResult fullResult() {
    ServingState.Committed state =
        new ServingState.Committed(
            7,
            "content".getBytes(StandardCharsets.UTF_8),
            8,
            List.of("z"),
            true,
            75,
            List.of("part"),
            List.of(new Departure("i-8", 4, 5)));
    return new FleetPollResult(
        5,
        6,
        7,
        8,
        true,
        state,
        instances(),
        List.of(new UnchangedHeartbeat("i-3", 1, 2, 3)),
        LOADS,
        75,
        100,
        List.of("10.0.0.1:7000"),
        "10.0.0.2:7000",
        SUSPICIONS,
        LIMITS,
        350,
        List.of(RELAY));
  }

  /** Returns an instance in each phase and one in each state of a member, named in words. */
  private static List<InstanceUpdate> instances() {
    Stream<InstanceUpdate> phases =
        Stream.of("READY", "DRAINING", "GONE").map(p -> instance(InstancePhase.valueOf(p), null));
    Stream<InstanceUpdate> states =
        Stream.of("JOINING", "READY", "OPEN", "CLOSING", "BROKEN")
            .map(s -> new GroupMembership("m.4.7", 7, 1, MemberState.valueOf(s)))
            .map(g -> instance(InstancePhase.READY, g));
    return Stream.concat(phases, states).toList();
  }

  private static InstanceUpdate instance(InstancePhase phase, @Nullable GroupMembership group) {
    FleetInstance i =
        new FleetInstance(
            "i-1",
            1_789_590_294_648L,
            5,
            "s",
            "10.1.0.1:8000",
            "z",
            phase,
            18,
            1_500,
            "d",
            List.of("m"),
            List.of("m", "n"),
            group,
            "m");
    return new InstanceUpdate(i, 40);
  }
}
