package org.ebonypond.fleet;

import org.jspecify.annotations.Nullable;

/**
 * A decision of the planner with what it was based on, for the log. Without it, the orders of a
 * leader do not tell what the leader knew.
 */
public sealed interface GroupDecision {
  /**
   * The first round of a term.
   *
   * @param term the term
   * @param instances the number of instances of the service
   * @param inGroups how many of them report a group
   * @param oldestMillis the age of the oldest of their latest heartbeats, in milliseconds
   * @param medianMillis the median of these ages, in milliseconds
   */
  record TermStarted(long term, int instances, int inGroups, long oldestMillis, long medianMillis)
      implements GroupDecision {}

  /**
   * A group is dissolved, or closed first. Reported once for each reason.
   *
   * @param group the name of the group
   * @param epoch its epoch
   * @param head what is known of its head
   * @param cause why
   */
  record GivenUp(String group, long epoch, Head head, Cause cause) implements GroupDecision {}

  /**
   * A group that was given up keeps its members for now, because its head, which has left it, may
   * join and open it again by orders without an answer. Reported once for each group.
   *
   * @param group the name of the group
   * @param epoch its epoch
   * @param head what is known of its head
   * @param joinMillis the time since this leader last sent the head an unanswered order to join, in
   *     milliseconds; -1 if there is none, and only orders of earlier leaders may be late
   * @param openMillis the same for the order to open the group
   * @param leftMillis how long one of the two may still be executed, in milliseconds; an answer to
   *     this leader ends it for the orders of earlier ones
   */
  record Held(
      String group, long epoch, Head head, long joinMillis, long openMillis, long leftMillis)
      implements GroupDecision {}

  /**
   * An instance has joined a group again that it had left: it has executed an order late.
   *
   * @param instance the identifier of the instance
   * @param group the name of the group
   * @param epoch its epoch
   * @param leftMillis the time since it was first known outside the group, in milliseconds
   * @param joinMillis the time since this leader last sent it an unanswered order to join, in
   *     milliseconds; -1 if there is none
   * @param openMillis the same for the order to open the group
   */
  record Returned(
      String instance, String group, long epoch, long leftMillis, long joinMillis, long openMillis)
      implements GroupDecision {}

  /**
   * An instance is ordered to join a new group. Reported once, also if the order is repeated.
   *
   * @param instance the identifier of the instance
   * @param ageMillis the age of its latest heartbeat, in milliseconds
   * @param group the name of the new group
   * @param epoch its epoch
   * @param oldGroup the name of the group that it reported last in this term and since its start;
   *     empty if there is none
   * @param oldEpoch the epoch of that group, or 0
   * @param leftMillis the time since the last round in which it reported that group, in
   *     milliseconds; 0 if it still does, -1 if there is none
   * @param oldHead what is known of the head of that group
   * @param evidence why the instance is free
   * @param waitedMillis how long this has been so, in milliseconds, or -1 if the evidence has no
   *     time
   * @param outcome the answer of the old head, for {@link FreeEvidence#HEAD_ANSWERED_LEAVE}
   */
  record Taken(
      String instance,
      long ageMillis,
      String group,
      long epoch,
      String oldGroup,
      long oldEpoch,
      long leftMillis,
      Head oldHead,
      FreeEvidence evidence,
      long waitedMillis,
      @Nullable OrderOutcome outcome)
      implements GroupDecision {}

  /**
   * What the leader knows of the head of a group.
   *
   * @param id the identifier of the instance; empty if none has reported to be the head
   * @param state its latest report on the group: a {@link MemberState}, {@code LEFT} if it named
   *     another group or none, {@code GONE} if it has deregistered, {@code UNKNOWN} if there is no
   *     report
   * @param ageMillis the age of its latest heartbeat, in milliseconds, or -1 if there is none
   */
  record Head(String id, String state, long ageMillis) {}

  /**
   * Why a group is given up.
   *
   * @param reason the reason
   * @param member the member that it concerns, or empty
   * @param millis how long this has been so, in milliseconds, or -1 if the reason has no time
   * @param outcome the answer of the head, for {@link GiveUpReason#HEAD_ANSWERED_LEAVE}
   */
  record Cause(GiveUpReason reason, String member, long millis, @Nullable OrderOutcome outcome) {
    static Cause of(GiveUpReason reason) {
      return new Cause(reason, "", -1, null);
    }

    static Cause of(GiveUpReason reason, String member, long millis) {
      return new Cause(reason, member, millis, null);
    }
  }
}
