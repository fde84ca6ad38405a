package org.ebonypond.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.ebonypond.consensus.StateMachine;
import org.ebonypond.control.ControlCommand.ApplyDocument;
import org.ebonypond.control.ControlCommand.DissolveGroup;
import org.ebonypond.control.ControlCommand.DrainGroup;
import org.ebonypond.control.ControlCommand.FormGroup;
import org.ebonypond.control.ControlCommand.GroupReady;
import org.ebonypond.control.ControlCommand.InstanceDown;
import org.ebonypond.control.ControlCommand.InstanceLeaving;
import org.ebonypond.control.ControlCommand.RegisterInstance;
import org.ebonypond.control.ControlCommand.RemoveInstance;
import org.ebonypond.control.ControlCommand.ReplaceMember;
import org.ebonypond.control.ControlCommand.SetZone;
import org.ebonypond.document.DocumentParser;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.events.EventCode;
import org.ebonypond.events.EventSink;
import org.ebonypond.wire.MessagePackCodec;
import org.jspecify.annotations.Nullable;

/**
 * The deterministic state machine of the control log. Events are notifications and never affect the
 * state. Not thread-safe; the caller must serialize calls.
 */
public final class ControlState implements StateMachine {
  private final EventSink events;
  private ControlTables tables = new ControlTables();
  private OperationLog operations = new OperationLog();
  private InstanceRules instanceRules;
  private GroupRules groupRules;
  private @Nullable ControlView view;

  /**
   * Creates an empty state.
   *
   * @param events receives a notification of each change
   */
  public ControlState(EventSink events) {
    this.events = events;
    this.groupRules = new GroupRules(tables, events);
    this.instanceRules = new InstanceRules(tables, groupRules, events);
  }

  /** Returns the immutable view after the last applied command. */
  public ControlView view() {
    if (view == null) {
      view = tables.view();
    }
    return view;
  }

  /**
   * Applies one committed command. An empty command changes nothing.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a command, or {@code
   *     invariant-violated}. An undecodable command stops the replica: skipping an entry that a
   *     newer version accepts would make replicas diverge
   */
  @Override
  public byte[] apply(long index, byte[] command) {
    if (command.length == 0) {
      advance(index);
      return MessagePackCodec.encode(accepted());
    }
    ControlCommand c = MessagePackCodec.decode(command, ControlCommand.class);
    return MessagePackCodec.encode(apply(index, c));
  }

  /**
   * Applies one committed command.
   *
   * @param index the log index, greater than every earlier one
   * @param c the decoded command
   * @throws EbonypondException {@code invariant-violated}
   */
  public ControlResult apply(long index, ControlCommand c) {
    advance(index);
    ControlResult result = dispatch(c);
    InvariantCheck.checkTouched(tables);
    return result;
  }

  private void advance(long index) {
    if (index <= tables.index) {
      throw new EbonypondException(
          ErrorCode.INVARIANT_VIOLATED,
          "log index " + index + " is not greater than " + tables.index);
    }
    tables.index = index;
    tables.clearTouched();
    view = null;
  }

  private ControlResult dispatch(ControlCommand c) {
    if (c instanceof ApplyDocument a) {
      return idempotent(a.operationId(), () -> applyDocument(a));
    }
    if (c instanceof SetZone z) {
      return idempotent(z.operationId(), () -> setZone(z));
    }
    Rejection r;
    if (c instanceof RegisterInstance i) {
      r = instanceRules.register(i);
    } else if (c instanceof InstanceDown i) {
      r = instanceRules.down(i);
    } else if (c instanceof InstanceLeaving i) {
      r = instanceRules.leaving(i);
    } else if (c instanceof RemoveInstance i) {
      r = instanceRules.remove(i);
    } else if (c instanceof FormGroup g) {
      r = groupRules.form(g);
    } else if (c instanceof GroupReady g) {
      r = groupRules.ready(g);
    } else if (c instanceof ReplaceMember g) {
      r = groupRules.replace(g);
    } else if (c instanceof DrainGroup g) {
      r = groupRules.drain(g);
    } else {
      r = groupRules.dissolve((DissolveGroup) c);
    }
    return r == null ? accepted() : rejected(r);
  }

  private ControlResult idempotent(String operationId, Supplier<ControlResult> change) {
    ControlResult first = operations.find(operationId);
    if (first != null) {
      return new ControlResult.Duplicate(first);
    }
    ControlResult result = change.get();
    operations.record(
        operationId, result instanceof ControlResult.Duplicate d ? d.first() : result);
    return result;
  }

  private ControlResult accepted() {
    return new ControlResult.Accepted(tables.index, tables.documentVersion());
  }

  private ControlResult rejected(Rejection r) {
    return new ControlResult.Rejected(
        r.code(), r.message(), tables.documentVersion(), tables.documentAuthor);
  }

  private ControlResult applyDocument(ApplyDocument c) {
    ServiceDocument current = tables.document;
    if (current != null && current.source().equals(c.content())) {
      return new ControlResult.Duplicate(
          new ControlResult.Accepted(tables.documentIndex, current.version()));
    }
    ServiceDocument next;
    try {
      next = DocumentParser.parse(c.content());
    } catch (EbonypondException e) {
      return rejectDocument(c, new Rejection(e.code(), String.valueOf(e.getMessage())));
    }
    if (next.version() != c.version()) {
      return rejectDocument(
          c,
          Rejection.of(
              ErrorCode.BAD_REQUEST,
              "the document states version " + next.version() + ", the request " + c.version()));
    }
    long version = tables.documentVersion();
    if (c.version() != version + 1) {
      return rejectDocument(
          c,
          Rejection.of(
              ErrorCode.VERSION_CONFLICT,
              String.valueOf(c.version()),
              String.valueOf(version),
              tables.documentAuthor,
              String.valueOf(version + 1)));
    }
    tables.document = next;
    tables.documentAuthor = c.operationId();
    tables.documentIndex = tables.index;
    events.emit(EventCode.DOCUMENT_ACCEPTED, "document/" + c.version());
    return accepted();
  }

  private ControlResult rejectDocument(ApplyDocument c, Rejection r) {
    events.emit(
        EventCode.DOCUMENT_REJECTED,
        "document/" + c.version(),
        Map.of("code", r.code().wireName(), "operation", c.operationId()));
    return rejected(r);
  }

  private ControlResult setZone(SetZone c) {
    Set<String> known = tables.knownZones();
    if (!known.contains(c.zone())) {
      return rejected(Rejection.of(ErrorCode.UNKNOWN_ZONE, c.zone(), String.join(", ", known)));
    }
    boolean changed = c.out() ? tables.zonesOut.add(c.zone()) : tables.zonesOut.remove(c.zone());
    if (changed) {
      events.emit(c.out() ? EventCode.ZONE_OUT : EventCode.ZONE_IN, "zone/" + c.zone());
      groupRules.zoneChanged(c.zone(), c.out());
    }
    return accepted();
  }

  @Override
  public byte[] snapshot() {
    ServiceDocument d = tables.document;
    return MessagePackCodec.encode(
        new ControlSnapshot(
            tables.index,
            d == null ? "" : d.source(),
            tables.documentAuthor,
            tables.documentIndex,
            tables.groupSequence,
            List.copyOf(tables.zonesOut),
            List.copyOf(tables.instances().values()),
            List.copyOf(tables.groups().values()),
            operations.entries()));
  }

  /**
   * Replaces the state by a snapshot.
   *
   * @throws EbonypondException {@code frame-invalid} if the bytes are not a snapshot, or {@code
   *     invariant-violated}
   */
  @Override
  public void restore(byte[] snapshot) {
    ControlSnapshot s = MessagePackCodec.decode(snapshot, ControlSnapshot.class);
    ControlTables restored = new ControlTables();
    restored.index = s.index();
    restored.document = s.document().isEmpty() ? null : DocumentParser.parse(s.document());
    restored.documentAuthor = s.documentAuthor();
    restored.documentIndex = s.documentIndex();
    restored.groupSequence = s.groupSequence();
    restored.zonesOut.addAll(s.zonesOut());
    s.instances().forEach(restored::putInstance);
    s.groups().forEach(restored::putGroup);
    InvariantCheck.checkAll(restored);
    OperationLog log = new OperationLog();
    s.operations().forEach(o -> log.record(o.operationId(), o.result()));
    tables = restored;
    operations = log;
    groupRules = new GroupRules(restored, events);
    instanceRules = new InstanceRules(restored, groupRules, events);
    view = null;
  }
}
