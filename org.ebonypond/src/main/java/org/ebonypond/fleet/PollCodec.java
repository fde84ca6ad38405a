package org.ebonypond.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.quarantine.PartSuspicion;
import org.ebonypond.serving.ServingCodec;
import org.ebonypond.serving.ServingState;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The MessagePack encoding of polls and their results. Polls are the most frequent messages between
 * processes, so each record is encoded as an array of its fields in order, without names. Fields
 * that a later version appends to a record are skipped, and those that an earlier version lacks
 * take their defaults, since processes of two versions poll each other while one replaces the
 * other.
 */
public final class PollCodec {
  private static final int POLL_FIELDS = 10;
  private static final int RESULT_FIELDS = 13;

  /** The fields of a poll that the first version lacked. */
  private static final int ADDED_POLL_FIELDS = 4;

  /** The fields of a result that the first version lacked. */
  private static final int ADDED_RESULT_FIELDS = 4;

  private static final int INSTANCE_FIELDS = 15;
  private static final int GROUP_FIELDS = 4;
  private static final int HEARTBEAT_FIELDS = 4;
  private static final int LOAD_FIELDS = 6;
  private static final int SUSPICION_FIELDS = 5;

  /** The field of a suspicion that the first version lacked. */
  private static final int ADDED_SUSPICION_FIELDS = 1;

  private static final int CRASH_FIELDS = 3;
  private static final int LIMIT_FIELDS = 4;
  private static final int RELAY_FIELDS = 2;
  private static final InstancePhase[] PHASES = InstancePhase.values();
  private static final MemberState[] STATES = MemberState.values();

  private PollCodec() {}

  /** Encodes a poll. */
  public static byte[] encodePoll(FleetPoll poll) {
    return pack(
        p -> {
          p.packArrayHeader(POLL_FIELDS + ADDED_POLL_FIELDS);
          p.packString(poll.node());
          p.packString(poll.address());
          p.packLong(poll.version());
          p.packLong(poll.zonesIndex());
          p.packLong(poll.boot());
          p.packLong(poll.cursor());
          p.packBoolean(poll.home());
          p.packBoolean(poll.wantsState());
          p.packLong(poll.requests());
          packList(p, poll.loads(), PollCodec::packLoad);
          packList(p, poll.suspicions(), PollCodec::packSuspicion);
          packList(p, poll.limits(), PollCodec::packLimit);
          packRelay(p, poll.relays().own());
          p.packBoolean(poll.relays().wanted());
        });
  }

  /**
   * Decodes a poll.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid poll
   */
  public static FleetPoll decodePoll(byte[] bytes) {
    return unpack(
        bytes,
        u -> {
          int extra = extraFields(u, POLL_FIELDS);
          FleetPoll poll =
              new FleetPoll(
                  u.unpackString(),
                  u.unpackString(),
                  u.unpackLong(),
                  u.unpackLong(),
                  u.unpackLong(),
                  u.unpackLong(),
                  u.unpackBoolean(),
                  u.unpackBoolean(),
                  u.unpackLong(),
                  unpackList(u, PollCodec::unpackLoad),
                  unpackAdded(u, extra >= 1, PollCodec::unpackSuspicion),
                  unpackAdded(u, extra >= 2, PollCodec::unpackLimit),
                  new RelayReport(
                      extra >= 3 ? unpackRelay(u) : RelayAddress.NONE,
                      extra >= 4 && u.unpackBoolean()));
          u.skipValue(Math.max(0, extra - ADDED_POLL_FIELDS));
          return poll;
        });
  }

  /** Encodes a poll result. */
  public static byte[] encodeResult(FleetPollResult r) {
    return pack(
        p -> {
          p.packArrayHeader(RESULT_FIELDS + ADDED_RESULT_FIELDS);
          p.packLong(r.boot());
          p.packLong(r.cursor());
          p.packLong(r.version());
          p.packLong(r.zonesIndex());
          p.packBoolean(r.ready());
          packState(p, r.state());
          packList(p, r.instances(), PollCodec::packInstance);
          packList(p, r.unchanged(), PollCodec::packHeartbeat);
          packLoads(p, r.loads());
          p.packInt(r.entries());
          p.packLong(r.minPollIntervalMillis());
          packList(p, r.replicas(), MessagePacker::packString);
          packText(p, r.leader());
          packList(p, r.suspicions(), PollCodec::packSuspicion);
          packList(p, r.limits(), PollCodec::packLimit);
          // -1 is shorter on the wire than Long.MAX_VALUE.
          p.packLong(r.stateAgeMillis() == FleetPollResult.UNCONFIRMED ? -1 : r.stateAgeMillis());
          packList(p, r.relays(), PollCodec::packRelay);
        });
  }

  /**
   * Decodes a poll result.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a valid result
   */
  public static FleetPollResult decodeResult(byte[] bytes) {
    return unpack(
        bytes,
        u -> {
          int extra = extraFields(u, RESULT_FIELDS);
          FleetPollResult r =
              new FleetPollResult(
                  u.unpackLong(),
                  u.unpackLong(),
                  u.unpackLong(),
                  u.unpackLong(),
                  u.unpackBoolean(),
                  unpackState(u),
                  unpackList(u, PollCodec::unpackInstance),
                  unpackList(u, PollCodec::unpackHeartbeat),
                  u.tryUnpackNil() ? null : unpackList(u, PollCodec::unpackLoad),
                  u.unpackInt(),
                  u.unpackLong(),
                  unpackList(u, MessageUnpacker::unpackString),
                  unpackText(u),
                  unpackAdded(u, extra >= 1, PollCodec::unpackSuspicion),
                  unpackAdded(u, extra >= 2, PollCodec::unpackLimit),
                  extra >= 3 ? unpackStateAge(u) : FleetPollResult.UNCONFIRMED,
                  unpackAdded(u, extra >= 4, PollCodec::unpackRelay));
          u.skipValue(Math.max(0, extra - ADDED_RESULT_FIELDS));
          return r;
        });
  }

  private static void packState(MessagePacker p, ServingState.@Nullable Committed committed)
      throws IOException {
    if (committed == null) {
      p.packNil();
      return;
    }
    byte[] state = ServingCodec.encodeState(committed);
    p.packBinaryHeader(state.length);
    p.writePayload(state);
  }

  private static ServingState.@Nullable Committed unpackState(MessageUnpacker u)
      throws IOException {
    if (u.tryUnpackNil()) {
      return null;
    }
    byte[] state = u.readPayload(u.unpackBinaryHeader());
    return ServingCodec.decodeState(state);
  }

  private static long unpackStateAge(MessageUnpacker u) throws IOException {
    long age = u.unpackLong();
    return age < 0 ? FleetPollResult.UNCONFIRMED : age;
  }

  private static void packLoads(MessagePacker p, @Nullable List<InstanceLoad> loads)
      throws IOException {
    if (loads == null) {
      p.packNil();
    } else {
      packList(p, loads, PollCodec::packLoad);
    }
  }

  private static void packLoad(MessagePacker p, InstanceLoad l) throws IOException {
    p.packArrayHeader(LOAD_FIELDS);
    p.packString(l.instance());
    p.packLong(l.epoch());
    p.packInt(l.active());
    p.packInt(l.prefillTokens());
    // -1 is shorter on the wire than Long.MAX_VALUE.
    p.packLong(l.idleMillis() == InstanceLoad.NEVER ? -1 : l.idleMillis());
    p.packLong(l.failingMillis());
  }

  private static InstanceLoad unpackLoad(MessageUnpacker u) throws IOException {
    int extra = extraFields(u, LOAD_FIELDS);
    String instance = u.unpackString();
    long epoch = u.unpackLong();
    int active = u.unpackInt();
    int prefill = u.unpackInt();
    long idle = u.unpackLong();
    long failing = u.unpackLong();
    u.skipValue(extra);
    return new InstanceLoad(
        instance, epoch, active, prefill, idle < 0 ? InstanceLoad.NEVER : idle, failing);
  }

  private static void packSuspicion(MessagePacker p, PartSuspicion s) throws IOException {
    p.packArrayHeader(SUSPICION_FIELDS + ADDED_SUSPICION_FIELDS);
    p.packLong(s.part());
    p.packLong(s.idleMillis());
    packList(p, s.crashes(), PollCodec::packCrash);
    p.packLong(s.begun());
    p.packBoolean(s.blocked());
    p.packBoolean(s.wholeRequest());
  }

  private static PartSuspicion unpackSuspicion(MessageUnpacker u) throws IOException {
    int extra = extraFields(u, SUSPICION_FIELDS);
    PartSuspicion s =
        new PartSuspicion(
            u.unpackLong(),
            u.unpackLong(),
            unpackList(u, PollCodec::unpackCrash),
            u.unpackLong(),
            u.unpackBoolean(),
            extra >= 1 && u.unpackBoolean());
    u.skipValue(Math.max(0, extra - ADDED_SUSPICION_FIELDS));
    return s;
  }

  private static void packCrash(MessagePacker p, PartSuspicion.Crash c) throws IOException {
    p.packArrayHeader(CRASH_FIELDS);
    p.packLong(c.id());
    p.packLong(c.ageMillis());
    p.packFloat((float) c.endedRate());
  }

  private static PartSuspicion.Crash unpackCrash(MessageUnpacker u) throws IOException {
    int extra = extraFields(u, CRASH_FIELDS);
    PartSuspicion.Crash c =
        new PartSuspicion.Crash(u.unpackLong(), u.unpackLong(), u.unpackFloat());
    if (!(c.endedRate() >= 0 && c.endedRate() <= 1)) {
      throw invalid("a rate of ended requests of " + c.endedRate());
    }
    u.skipValue(extra);
    return c;
  }

  private static void packLimit(MessagePacker p, NamedLimit l) throws IOException {
    p.packArrayHeader(LIMIT_FIELDS);
    p.packString(l.instance());
    p.packLong(l.startMillis());
    p.packDouble(l.perSecond());
    p.packLong(l.ageMillis());
  }

  private static NamedLimit unpackLimit(MessageUnpacker u) throws IOException {
    int extra = extraFields(u, LIMIT_FIELDS);
    NamedLimit l =
        new NamedLimit(u.unpackString(), u.unpackLong(), u.unpackDouble(), u.unpackLong());
    u.skipValue(extra);
    return l;
  }

  private static void packRelay(MessagePacker p, RelayAddress r) throws IOException {
    p.packArrayHeader(RELAY_FIELDS);
    p.packString(r.address());
    p.packString(r.zone());
  }

  private static RelayAddress unpackRelay(MessageUnpacker u) throws IOException {
    int extra = extraFields(u, RELAY_FIELDS);
    RelayAddress r = new RelayAddress(u.unpackString(), u.unpackString());
    u.skipValue(extra);
    return r;
  }

  private static void packHeartbeat(MessagePacker p, UnchangedHeartbeat heartbeat)
      throws IOException {
    p.packArrayHeader(HEARTBEAT_FIELDS);
    p.packString(heartbeat.id());
    p.packLong(heartbeat.startMillis());
    p.packLong(heartbeat.sequence());
    p.packLong(heartbeat.ageMillis());
  }

  private static UnchangedHeartbeat unpackHeartbeat(MessageUnpacker u) throws IOException {
    int extra = extraFields(u, HEARTBEAT_FIELDS);
    UnchangedHeartbeat heartbeat =
        new UnchangedHeartbeat(u.unpackString(), u.unpackLong(), u.unpackLong(), u.unpackLong());
    u.skipValue(extra);
    return heartbeat;
  }

  private static void packInstance(MessagePacker p, InstanceUpdate update) throws IOException {
    FleetInstance i = update.instance();
    p.packArrayHeader(INSTANCE_FIELDS);
    p.packLong(update.ageMillis());
    p.packString(i.id());
    p.packLong(i.startMillis());
    p.packLong(i.sequence());
    p.packString(i.service());
    p.packString(i.address());
    p.packString(i.zone());
    p.packInt(i.phase().ordinal());
    p.packInt(i.slots());
    p.packLong(i.coldMillis());
    p.packString(i.domain());
    packList(p, i.models(), MessagePacker::packString);
    packList(p, i.staged(), MessagePacker::packString);
    packGroup(p, i.group());
    p.packString(i.lastModel());
  }

  private static InstanceUpdate unpackInstance(MessageUnpacker u) throws IOException {
    int extra = extraFields(u, INSTANCE_FIELDS);
    long age = u.unpackLong();
    FleetInstance i =
        new FleetInstance(
            u.unpackString(),
            u.unpackLong(),
            u.unpackLong(),
            u.unpackString(),
            u.unpackString(),
            u.unpackString(),
            enumConstant(PHASES, u.unpackInt()),
            u.unpackInt(),
            u.unpackLong(),
            u.unpackString(),
            unpackList(u, MessageUnpacker::unpackString),
            unpackList(u, MessageUnpacker::unpackString),
            unpackGroup(u),
            u.unpackString());
    u.skipValue(extra);
    return new InstanceUpdate(i, age);
  }

  private static void packGroup(MessagePacker p, @Nullable GroupMembership g) throws IOException {
    if (g == null) {
      p.packNil();
      return;
    }
    p.packArrayHeader(GROUP_FIELDS);
    p.packString(g.name());
    p.packLong(g.epoch());
    p.packInt(g.rank());
    p.packInt(g.state().ordinal());
  }

  private static @Nullable GroupMembership unpackGroup(MessageUnpacker u) throws IOException {
    if (u.tryUnpackNil()) {
      return null;
    }
    int extra = extraFields(u, GROUP_FIELDS);
    GroupMembership g =
        new GroupMembership(
            u.unpackString(), u.unpackLong(), u.unpackInt(), enumConstant(STATES, u.unpackInt()));
    u.skipValue(extra);
    return g;
  }

  private static void packText(MessagePacker p, @Nullable String text) throws IOException {
    if (text == null) {
      p.packNil();
    } else {
      p.packString(text);
    }
  }

  private static @Nullable String unpackText(MessageUnpacker u) throws IOException {
    return u.tryUnpackNil() ? null : u.unpackString();
  }

  private static <T> void packList(MessagePacker p, List<T> list, Writer<T> writer)
      throws IOException {
    p.packArrayHeader(list.size());
    for (T t : list) {
      writer.write(p, t);
    }
  }

  private static <T> List<T> unpackList(MessageUnpacker u, Reader<T> reader) throws IOException {
    int size = u.unpackArrayHeader();
    // The size is untrusted, so memory is allocated only for elements that are present.
    List<T> out = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      out.add(reader.read(u));
    }
    return out;
  }

  /** Reads a list that the first version of a message lacked. */
  private static <T> List<T> unpackAdded(MessageUnpacker u, boolean present, Reader<T> reader)
      throws IOException {
    return present ? unpackList(u, reader) : List.of();
  }

  /** Reads the header of a record; returns the number of fields beyond the known ones. */
  private static int extraFields(MessageUnpacker u, int known) throws IOException {
    int fields = u.unpackArrayHeader();
    if (fields < known) {
      throw invalid(fields + " fields instead of at least " + known);
    }
    return fields - known;
  }

  private static <T> T enumConstant(T[] values, int ordinal) {
    if (ordinal < 0 || ordinal >= values.length) {
      throw invalid("unknown enum ordinal " + ordinal);
    }
    return values[ordinal];
  }

  private static EbonypondException invalid(String what) {
    return new EbonypondException(ErrorCode.FRAME_INVALID, what);
  }

  private static byte[] pack(PackAction action) {
    try (MessageBufferPacker p = MessagePack.newDefaultBufferPacker()) {
      action.run(p);
      return p.toByteArray();
    } catch (IOException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, String.valueOf(e.getMessage()));
    }
  }

  private static <T> T unpack(byte[] bytes, Reader<T> reader) {
    MessagePackCodec.checkLengths(bytes);
    try (MessageUnpacker u = MessagePack.newDefaultUnpacker(bytes)) {
      return reader.read(u);
    } catch (IOException | MessagePackException e) {
      throw new EbonypondException(e, ErrorCode.FRAME_INVALID, String.valueOf(e.getMessage()));
    }
  }

  private interface PackAction {
    void run(MessagePacker p) throws IOException;
  }

  private interface Writer<T> {
    void write(MessagePacker p, T value) throws IOException;
  }

  private interface Reader<T> {
    T read(MessageUnpacker u) throws IOException;
  }
}
