package org.ebonypond.ledger;

/** Builds the ledger commands of one keyed request. */
final class CallCommands {
  private final CallRequest request;
  private final String key;

  CallCommands(CallRequest request, String key) {
    this.request = request;
    this.key = key;
  }

  LedgerCommand.RecordIntent intent(long nowMillis) {
    return new LedgerCommand.RecordIntent(
        request.workspace(), key, request.digest(), request.attempt(), toWallMillis(nowMillis));
  }

  LedgerCommand outcome(StoredAnswer answer, long nowMillis) {
    return new LedgerCommand.RecordOutcome(
        request.workspace(), key, request.attempt(), answer.bounded(), toWallMillis(nowMillis));
  }

  LedgerCommand notRun(long nowMillis) {
    return new LedgerCommand.RecordNotRun(
        request.workspace(), key, request.digest(), request.attempt(), toWallMillis(nowMillis));
  }

  LedgerCommand unknown(long nowMillis) {
    return new LedgerCommand.RecordUnknown(
        request.workspace(), key, request.attempt(), toWallMillis(nowMillis));
  }

  CallAction poll() {
    return new CallAction.PollLedger(request.workspace(), key);
  }

  private long toWallMillis(long nowMillis) {
    return request.wallMillis() + nowMillis - request.startMillis();
  }
}
