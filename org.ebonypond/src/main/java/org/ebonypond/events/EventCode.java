package org.ebonypond.events;

/**
 * The event codes. The catalogue in {@code docs/events.md} describes each of them, and a test keeps
 * the two consistent. Numbers are never reused.
 */
public enum EventCode {
  DAEMON_STARTED(100),
  DAEMON_DRAINING(101),
  DAEMON_STOPPED(102),
  SETTINGS_REJECTED(103),
  INTERNAL_ERROR(104),
  ENTRY_LOST(105),
  LEADER_ELECTED(200),
  LEADER_STEPPED_DOWN(201),
  LOG_TAIL_CUT(202),
  SNAPSHOT_WRITTEN(203),
  SNAPSHOT_INSTALLED(204),
  LEARNER_ADMITTED(205),
  VOTE_REFUSED(206),
  DOCUMENT_ACCEPTED(300),
  DOCUMENT_REJECTED(301),
  ZONE_OUT(302),
  ZONE_IN(303),
  VIEW_LEASE_LOST(310),
  VIEW_LEASE_REGAINED(311),
  VIEW_APPLIED(312),
  INSTANCE_REGISTERED(400),
  INSTANCE_DOWN(401),
  INSTANCE_LEAVING(402),
  INSTANCE_SUSPECTED(403),
  GROUP_FORMED(500),
  GROUP_READY(501),
  GROUP_DOWN(502),
  GROUP_MEMBER_REPLACED(503),
  GROUP_DISSOLVED(504),
  GROUP_DRAINING(505),
  GROUP_NOT_PLACED(506),
  ORDER_SENT(510),
  ORDER_REFUSED(511),
  ORDER_CONFIRMED(512),
  REQUEST_ADMITTED(600),
  REQUEST_REFUSED(601),
  REQUEST_DISPATCHED(602),
  REQUEST_COMPLETED(603),
  REQUEST_FAILED(604),
  REQUEST_RETRIED(605),
  REQUEST_RESUMED(606),
  REQUEST_OUTCOME_UNKNOWN(607),
  REQUEST_REPLAYED(608),
  REQUEST_JOINED(609),
  REQUEST_CANCELLED(610),
  SHARE_GRANTED(700),
  SHARE_RETURNED(701),
  SHARE_LAPSED(702),
  STRAGGLER_EJECTED(710),
  STRAGGLER_RESTORED(711),
  INVARIANT_VIOLATED(900);

  private final int number;

  EventCode(int number) {
    this.number = number;
  }

  /** Returns the stable number. */
  public int number() {
    return number;
  }

  /** Returns the label that logs and the catalogue use, for example {@code EP0600}. */
  public String label() {
    return String.format("EP%04d", number);
  }
}
