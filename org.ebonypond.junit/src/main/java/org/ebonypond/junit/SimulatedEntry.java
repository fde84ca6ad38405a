package org.ebonypond.junit;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import org.ebonypond.errors.Outcome;
import org.ebonypond.ledger.AtMostOnceCall;
import org.ebonypond.ledger.AttemptId;
import org.ebonypond.ledger.CallAction;
import org.ebonypond.ledger.CallRequest;
import org.ebonypond.ledger.LedgerCommand;
import org.ebonypond.ledger.LedgerResult;
import org.ebonypond.ledger.RequestDigest;
import org.ebonypond.ledger.StoredAnswer;
import org.jspecify.annotations.Nullable;

/**
 * An entry process that runs at-most-once calls against the fakes. It can be killed at any time or
 * before a given step; messages that it sent earlier are still delivered.
 */
public final class SimulatedEntry {
  /** The wall time at the start of the simulation, in milliseconds since 1970. */
  public static final long WALL_MILLIS = 1_790_000_000_000L;

  private static final long REGISTER_RETRY_MILLIS = 300;

  private final String name;
  private final long incarnation;
  private final ManualTimerService timers;
  private final FakeLedgerShard ledger;
  private final FakePlainService service;
  private UnaryOperator<LedgerResult> intentFilter = r -> r;
  private @Nullable Step killStep;
  private boolean alive = true;
  private boolean registered;
  private long calls;

  /** The steps of a call before which the entry can be killed. */
  public enum Step {
    /** Before the intent is proposed. */
    INTENT,
    /** After the intent committed, before the dispatch. */
    DISPATCH,
    /** After the dispatch, before the outcome is proposed. */
    OUTCOME,
    /** After the outcome committed, before the reply to the caller. */
    REPLY
  }

  /** Receives the final answer of a request, or the loss of the connection to the entry. */
  public interface Caller {
    /** Receives the final answer. */
    void answered(CallAction answer);

    /** The entry was killed, so the connection is closed. */
    void connectionLost();
  }

  /** Creates a running process. */
  public SimulatedEntry(
      String name,
      long incarnation,
      ManualTimerService timers,
      FakeLedgerShard ledger,
      FakePlainService service) {
    this.name = name;
    this.incarnation = incarnation;
    this.timers = timers;
    this.ledger = ledger;
    this.service = service;
  }

  /** Modifies the ledger's replies to intents, for tests of variants that must fail. */
  public void filterIntentResults(UnaryOperator<LedgerResult> filter) {
    intentFilter = filter;
  }

  /** Kills the process before the next action of a step. */
  public void killBefore(Step step) {
    killStep = step;
  }

  /** Kills the process. */
  public void kill() {
    alive = false;
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return alive;
  }

  /** Registers the incarnation with the ledger, with retries until it is recorded. */
  public void register() {
    if (!alive || registered) {
      return;
    }
    ledger.propose(
        new LedgerCommand.EntryRestarted(name, incarnation, WALL_MILLIS + timers.nowMillis()),
        r -> registered = true);
    timers.after(REGISTER_RETRY_MILLIS, this::register);
  }

  /**
   * Receives a request.
   *
   * @param key the idempotency key, or null if there is none
   * @param body the body
   * @param timeoutMillis the timeout of the request, in milliseconds
   * @param caller receives the answer
   */
  public RunningCall submit(@Nullable String key, String body, long timeoutMillis, Caller caller) {
    return new RunningCall(key, body, timeoutMillis, caller);
  }

  /** One call of the process. */
  public final class RunningCall {
    private final AtMostOnceCall call;
    private final AttemptId attempt;
    private final String key;
    private final Caller caller;
    private boolean closed;

    RunningCall(@Nullable String key, String body, long timeoutMillis, Caller caller) {
      this.attempt = new AttemptId(name, incarnation, ++calls);
      this.key = key == null ? attempt.toString() : key;
      this.caller = caller;
      long now = timers.nowMillis();
      this.call =
          new AtMostOnceCall(
              new CallRequest(
                  "surabaya",
                  key,
                  RequestDigest.of("POST", "/orders", body.getBytes(StandardCharsets.UTF_8)),
                  attempt,
                  now,
                  now + timeoutMillis,
                  WALL_MILLIS + now));
      handle(call::start);
    }

    /** Returns the state machine of the call. */
    public AtMostOnceCall call() {
      return call;
    }

    /** Closes the connection from the caller. */
    public void disconnect() {
      closed = true;
      handle(call::onCallerDisconnected);
    }

    private void handle(CallEvent event) {
      if (alive) {
        event.at(timers.nowMillis()).forEach(this::perform);
        scheduleTimer();
      }
      if (!alive && !closed) {
        closed = true;
        caller.connectionLost();
      }
    }

    private void scheduleTimer() {
      long at = call.nextWakeMillis();
      if (at != Long.MAX_VALUE) {
        timers.after(at - timers.nowMillis(), () -> handle(call::onTimer));
      }
    }

    private void perform(CallAction action) {
      if (!alive || isKilledBefore(action)) {
        return;
      }
      if (action instanceof CallAction.ProposeIntent a) {
        proposeIntent(a.command());
      } else if (action instanceof CallAction.ProposeRecord a) {
        propose(a.command(), r -> handle(now -> call.onRecordResult(r, now)));
      } else if (action instanceof CallAction.PollLedger a) {
        ledger.lookup(a.workspace(), a.key(), r -> handle(now -> call.onPollResult(r, now)));
      } else if (action instanceof CallAction.Dispatch) {
        service.send(attempt.toString(), key, new Client());
      } else {
        answer(action);
      }
    }

    private boolean isKilledBefore(CallAction action) {
      Step step = stepOf(action);
      if (step == null || step != killStep) {
        return false;
      }
      kill();
      return true;
    }

    private @Nullable Step stepOf(CallAction action) {
      if (action instanceof CallAction.ProposeIntent) {
        return Step.INTENT;
      }
      if (action instanceof CallAction.Dispatch) {
        return Step.DISPATCH;
      }
      if (action instanceof CallAction.ProposeRecord) {
        return Step.OUTCOME;
      }
      return action instanceof CallAction.AnswerWhole ? Step.REPLY : null;
    }

    private void proposeIntent(LedgerCommand command) {
      propose(command, r -> handle(now -> call.onIntentResult(intentFilter.apply(r), now)));
    }

    private void propose(LedgerCommand command, Consumer<LedgerResult> reply) {
      if (!ledger.propose(command, reply)) {
        handle(call::onLedgerUnreachable);
      }
    }

    private void answer(CallAction action) {
      if (action instanceof CallAction.AnswerProblem p && p.outcome() == Outcome.NOT_RUN) {
        service.declareNotRun(attempt.toString());
      }
      closed = true;
      caller.answered(action);
    }

    private final class Client implements FakePlainService.Client {
      @Override
      public void notWritten() {
        handle(now -> call.onNotRun(now % 2 == 0, now));
      }

      @Override
      public void connectionLost() {
        handle(call::onConnectionLost);
      }

      @Override
      public void answered(StoredAnswer answer) {
        handle(now -> call.onAnswer(answer, now));
      }
    }
  }

  private interface CallEvent {
    List<CallAction> at(long nowMillis);
  }
}
