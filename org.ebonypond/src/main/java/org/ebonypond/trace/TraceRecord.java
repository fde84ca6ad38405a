package org.ebonypond.trace;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.group.EngineState;
import org.ebonypond.group.InstanceAnnouncement;

/**
 * One input of the decision classes of the control leader. Tokens are those that the recorded
 * scheduler issued.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "record")
@JsonSubTypes({
  @JsonSubTypes.Type(value = TraceRecord.StateRestored.class, name = "state-restored"),
  @JsonSubTypes.Type(value = TraceRecord.TermStarted.class, name = "term-started"),
  @JsonSubTypes.Type(value = TraceRecord.TermEnded.class, name = "term-ended"),
  @JsonSubTypes.Type(value = TraceRecord.AnnouncementHeard.class, name = "announced"),
  @JsonSubTypes.Type(value = TraceRecord.AnnouncementsRepeated.class, name = "announced-again"),
  @JsonSubTypes.Type(value = TraceRecord.CommandCommitted.class, name = "committed"),
  @JsonSubTypes.Type(value = TraceRecord.ProposalResolved.class, name = "resolved"),
  @JsonSubTypes.Type(value = TraceRecord.EngineStateRead.class, name = "state-read"),
  @JsonSubTypes.Type(value = TraceRecord.OrderAccepted.class, name = "order-accepted"),
  @JsonSubTypes.Type(value = TraceRecord.OrderFailed.class, name = "order-failed"),
  @JsonSubTypes.Type(value = TraceRecord.Tick.class, name = "tick")
})
public sealed interface TraceRecord {
  /** Returns the time at which the input was processed, in milliseconds. */
  long at();

  /**
   * The control state at the start of a recording that does not begin with an empty log.
   *
   * @param at the time in milliseconds
   * @param snapshot the snapshot of the control state, in Base64
   */
  record StateRestored(long at, String snapshot) implements TraceRecord {}

  /**
   * The replica became the leader.
   *
   * @param at the time in milliseconds
   * @param term the Raft term
   * @param firstToken the first token that the scheduler issues in the term; a replay maps its own
   *     tokens to it
   */
  record TermStarted(long at, long term, long firstToken) implements TraceRecord {}

  /**
   * The replica stepped down.
   *
   * @param at the time in milliseconds
   */
  record TermEnded(long at) implements TraceRecord {}

  /**
   * An announcement that is new or differs from the last one of its instance.
   *
   * @param at the time at which it was processed, in milliseconds
   * @param heard the time at which an entry received it, in milliseconds
   * @param announcement the announcement as an entry forwarded it
   */
  record AnnouncementHeard(long at, long heard, InstanceAnnouncement announcement)
      implements TraceRecord {}

  /**
   * Announcements that equal the last one of their instance; joined to keep traces small.
   *
   * @param at the time at which they were processed, in milliseconds
   * @param heard the time at which an entry received them, in milliseconds
   * @param instances the instances, in order
   */
  record AnnouncementsRepeated(long at, long heard, List<String> instances) implements TraceRecord {
    /** Copies the list. */
    public AnnouncementsRepeated {
      instances = List.copyOf(instances);
    }
  }

  /**
   * A command became part of the leader's view.
   *
   * @param at the time in milliseconds
   * @param index the log index
   * @param command the committed command
   */
  record CommandCommitted(long at, long index, ControlCommand command) implements TraceRecord {}

  /**
   * The result of a proposal became known, whether it was accepted or not.
   *
   * @param at the time in milliseconds
   * @param command the proposed command
   */
  record ProposalResolved(long at, ControlCommand command) implements TraceRecord {}

  /**
   * An engine returned its state.
   *
   * @param at the time in milliseconds
   * @param token the token of the read
   * @param state the state that the engine returned
   */
  record EngineStateRead(long at, long token, EngineState state) implements TraceRecord {}

  /**
   * An engine accepted an order.
   *
   * @param at the time in milliseconds
   * @param token the token of the order
   * @param instance the instance's name
   */
  record OrderAccepted(long at, long token, String instance) implements TraceRecord {}

  /**
   * An engine refused an order, or an order or a read failed.
   *
   * @param at the time in milliseconds
   * @param token the token of the order or read
   * @param instance the instance's name
   */
  record OrderFailed(long at, long token, String instance) implements TraceRecord {}

  /**
   * The leader ran its decision classes.
   *
   * @param at the time in milliseconds
   * @param leaseHeldUntil the end of the leader lease, in milliseconds
   */
  record Tick(long at, long leaseHeldUntil) implements TraceRecord {}
}
