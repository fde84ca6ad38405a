package org.ebonypond.server.replica;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.ebonypond.consensus.EntryType;
import org.ebonypond.consensus.LogEntry;
import org.ebonypond.consensus.Membership;
import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.consensus.RaftMessage;
import org.ebonypond.consensus.Snapshot;
import org.ebonypond.server.Sample;
import org.ebonypond.serving.Departure;
import org.ebonypond.serving.ServingCodec;
import org.ebonypond.serving.ServingCommand;
import org.ebonypond.serving.ServingState;

/** The messages between replicas, and the commands and states of the serving log. */
public final class LogSamples {
  private static final Membership MEMBERSHIP = new Membership(Map.of("core-1", "a", "core-2", "b"));
  private static final byte[] CONTENT = "content".getBytes(StandardCharsets.UTF_8);
  private static final List<Departure> DEPARTURES = List.of(new Departure("i-8", 4, 5));

  private LogSamples() {}

  /** Returns the samples. */
  public static List<Sample> all() {
    List<Sample> out = new ArrayList<>();
    out.add(message("vote", new RaftMessage.VoteRequest(3, "a", "b", 40, 2, true)));
    out.add(message("vote-reply", new RaftMessage.VoteReply(3, "b", true, false)));
    out.add(
        message(
            "append",
            new RaftMessage.AppendRequest(
                3,
                "a",
                "b",
                40,
                2,
                39,
                1_789_590_294_648L,
                List.of(
                    new LogEntry(41, 3, EntryType.NOOP, new byte[0]),
                    new LogEntry(
                        42, 3, EntryType.MEMBERSHIP, RaftCodec.encodeMembership(MEMBERSHIP)),
                    new LogEntry(43, 3, EntryType.COMMAND, CONTENT)))));
    out.add(message("append-reply", new RaftMessage.AppendReply(3, "b", true, 43, 17)));
    out.add(
        message(
            "snapshot",
            new RaftMessage.SnapshotRequest(3, "a", "b", 40, 2, MEMBERSHIP, 1, 9, CONTENT, 17)));
    out.add(message("snapshot-reply", new RaftMessage.SnapshotReply(3, "b", 40, 8, 17)));
    out.add(message("genesis", new RaftMessage.GenesisRequest(1, "a")));
    out.add(message("genesis-reply", new RaftMessage.GenesisReply(1, "b", true)));
    out.add(
        new Sample(
            "snapshot-file",
            RaftCodec.encodeSnapshot(new Snapshot(40, 2, MEMBERSHIP, CONTENT)),
            b -> RaftCodec.encodeSnapshot(RaftCodec.decodeSnapshot(b))));
    out.addAll(commands());
    out.add(
        state(
            new ServingState.Committed(
                7, CONTENT, 8, List.of("z"), true, 75, List.of("part"), DEPARTURES)));
    return out;
  }

  private static List<Sample> commands() {
    return List.of(
        command("install", new ServingCommand.Install(7, CONTENT)),
        command("zone-out", new ServingCommand.SetZone("z", true)),
        command("zone-in", new ServingCommand.SetZone("z", false, 8)),
        command("traffic", new ServingCommand.BeginTraffic()),
        command("entries", new ServingCommand.NoteEntries(75)),
        command("quarantine", new ServingCommand.Quarantine(List.of("part"))),
        command("depart", new ServingCommand.Depart(DEPARTURES)),
        command("barrier", new ServingCommand.Barrier()));
  }

  private static Sample message(String name, RaftMessage m) {
    return new Sample(
        "raft-" + name,
        RaftCodec.encodeMessage(m),
        b -> RaftCodec.encodeMessage(RaftCodec.decodeMessage(b)));
  }

  private static Sample command(String name, ServingCommand c) {
    return new Sample(
        "command-" + name,
        ServingCodec.encodeCommand(c),
        b -> ServingCodec.encodeCommand(ServingCodec.decodeCommand(b)));
  }

  private static Sample state(ServingState.Committed c) {
    return new Sample(
        "serving-state",
        ServingCodec.encodeState(c),
        b -> ServingCodec.encodeState(ServingCodec.decodeState(b)));
  }
}
