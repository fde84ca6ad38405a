package org.ebonypond.fleet;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.function.Consumer;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.junit.ByteMutator;
import org.ebonypond.quarantine.PartSuspicion;
import org.ebonypond.serving.ServingState;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

class PollCodecTest {
  /** The number of corrupted copies of each message; set with {@code -Debonypond.seeds=N}. */
  private static final long CORRUPTED_COPIES = Long.getLong("ebonypond.seeds", 3_000);

  private static final FleetPoll POLL =
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
          List.of(
              new InstanceLoad("i-1", 3, 2, 700, InstanceLoad.NEVER, 0),
              new InstanceLoad("i-2", 4, 0, 0, 20, 900)),
          List.of(
              new PartSuspicion(
                  Long.MIN_VALUE,
                  7,
                  List.of(new PartSuspicion.Crash(-1, 12, 0.25)),
                  3,
                  true,
                  true)),
          List.of(new NamedLimit("i-1", 8, 3.25, 40)),
          new RelayReport(new RelayAddress("10.0.0.9:7000", "z"), true));

  private static FleetInstance instance(GroupMembership g) {
    return new FleetInstance(
        "i-1",
        1_789_590_294_648L,
        5,
        "s",
        "10.1.0.1:8000",
        "z",
        InstancePhase.DRAINING,
        18,
        1_500,
        "d",
        List.of("m"),
        List.of("m", "n"),
        g,
        "m");
  }

  private static FleetPollResult result() {
    GroupMembership g = new GroupMembership("m.4.7", 7, 1, MemberState.OPEN);
    return new FleetPollResult(
        5,
        6,
        7,
        8,
        true,
        new ServingState.Committed(7, new byte[] {1, 2}, 8, List.of("z"), true, 75, List.of()),
        List.of(new InstanceUpdate(instance(g), 40), new InstanceUpdate(instance(null), 0)),
        List.of(new UnchangedHeartbeat("i-3", 1, 2, 3)),
        POLL.loads(),
        75,
        100,
        List.of("10.0.0.1:7000"),
        "10.0.0.2:7000",
        POLL.suspicions(),
        POLL.limits(),
        350,
        List.of(POLL.relays().own()));
  }

  /** Guards against a field that is lost or swapped in the encoding. */
  @Test
  void messagesRoundTrip() {
    assertEquals(POLL, PollCodec.decodePoll(PollCodec.encodePoll(POLL)));
    FleetPollResult r = result();
    FleetPollResult decoded = PollCodec.decodeResult(PollCodec.encodeResult(r));
    assertArrayEquals(r.state().content(), decoded.state().content());
    assertEquals(r.state().zonesOut(), decoded.state().zonesOut());
    assertEquals(withoutState(r), withoutState(decoded));
    FleetPollResult withoutOptionalFields =
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
    assertEquals(
        withoutOptionalFields,
        PollCodec.decodeResult(PollCodec.encodeResult(withoutOptionalFields)));
  }

  private static FleetPollResult withoutState(FleetPollResult r) {
    return new FleetPollResult(
        r.boot(),
        r.cursor(),
        r.version(),
        r.zonesIndex(),
        r.ready(),
        null,
        r.instances(),
        r.unchanged(),
        r.loads(),
        r.entries(),
        r.minPollIntervalMillis(),
        r.replicas(),
        r.leader(),
        r.suspicions(),
        r.limits(),
        r.stateAgeMillis(),
        r.relays());
  }

  /** Guards against rejecting messages of a later version that has additional fields. */
  @Test
  void fieldsOfLaterVersionsAreSkipped() throws IOException {
    byte[] known = PollCodec.encodePoll(POLL);
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(16);
      p.writePayload(known, 1, known.length - 1);
      p.packString("new");
      p.packArrayHeader(1);
      p.packInt(1);
      assertEquals(POLL, PollCodec.decodePoll(p.toByteArray()));
    }
  }

  /**
   * Guards against rejecting messages of versions that have no suspicions, limits or relays yet.
   */
  @Test
  void messagesOfEarlierVersionsAreAccepted() throws IOException {
    FleetPoll poll =
        new FleetPoll(
            "front-1", "", 7, -1, 3, 12, true, false, 99, POLL.loads(), List.of(), List.of());
    byte[] current = PollCodec.encodePoll(poll);
    // The sizes of the last fields without a value: whether relays are wanted, the sender's own
    // relay, limits and suspicions.
    int[] sizes = {1, 3, 1, 1};
    int length = current.length;
    for (int missing = 1; missing <= sizes.length; missing++) {
      length -= sizes[missing - 1];
      byte[] earlier = Arrays.copyOf(current, length);
      earlier[0] -= (byte) missing;
      assertEquals(poll, PollCodec.decodePoll(earlier));
    }
  }

  /** Guards against taking the state of a version that does not tell its age for the newest one. */
  @Test
  void stateOfEarlierVersionsIsUnconfirmed() throws IOException {
    FleetPollResult r =
        new FleetPollResult(
            1, 2, 3, 4, false, null, List.of(), List.of(), null, 1, 0, List.of(), null, List.of(),
            List.of(), 0);
    byte[] current = PollCodec.encodeResult(r);
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(15);
      // The header of 17 fields has three bytes; the age of 0 and the empty list of relays have one
      // each.
      p.writePayload(current, 3, current.length - 5);
      FleetPollResult earlier = PollCodec.decodeResult(p.toByteArray());
      assertEquals(FleetPollResult.UNCONFIRMED, earlier.stateAgeMillis());
      assertEquals(3, earlier.version());
    }
  }

  /** Guards against impossible evidence, which would block a harmless part at every entry. */
  @ParameterizedTest
  @ValueSource(doubles = {-0.1, 1.1, Double.NaN, Double.NEGATIVE_INFINITY})
  void impossibleRatesOfCrashesAreRejected(double rate) {
    PartSuspicion impossible =
        new PartSuspicion(1, 0, List.of(new PartSuspicion.Crash(1, 0, rate)), 0, false, false);
    FleetPoll poll =
        new FleetPoll(
            "e", "", 0, 0, 0, 0, true, false, 0, List.of(), List.of(impossible), List.of());
    byte[] encoded = PollCodec.encodePoll(poll);
    assertThrows(EbonypondException.class, () -> PollCodec.decodePoll(encoded));
  }

  /** Guards against malformed input that crashes the process or exhausts its memory. */
  @Test
  void corruptedMessagesAreRejected() {
    checkCorrupted(PollCodec.encodePoll(POLL), PollCodec::decodePoll);
    checkCorrupted(PollCodec.encodeResult(result()), PollCodec::decodeResult);
  }

  /** Guards against allocating gigabytes for the claimed length of a configuration. */
  @Test
  void claimedLengthsAreNotAllocated() throws IOException {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      p.packArrayHeader(13);
      for (int i = 0; i < 4; i++) {
        p.packLong(1);
      }
      p.packBoolean(true);
      p.packBinaryHeader(Integer.MAX_VALUE - 8);
      byte[] oversized = p.toByteArray();
      assertThrows(EbonypondException.class, () -> PollCodec.decodeResult(oversized));
    }
  }

  private static void checkCorrupted(byte[] good, Consumer<byte[]> decoder) {
    for (long seed = 1; seed <= CORRUPTED_COPIES; seed++) {
      byte[] bad = new ByteMutator(seed).mutate(good);
      try {
        decoder.accept(bad);
      } catch (EbonypondException e) {
        assertNotNull(e.getMessage());
      } catch (RuntimeException | Error e) {
        throw new AssertionError("seed " + seed, e);
      }
    }
  }
}
