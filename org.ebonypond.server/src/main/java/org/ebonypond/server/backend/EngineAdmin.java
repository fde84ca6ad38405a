package org.ebonypond.server.backend;

import java.util.concurrent.CompletableFuture;
import org.ebonypond.group.EngineOrder;
import org.ebonypond.group.EngineState;

/** Client of the control interface of engines. Every call ends within the order timeout of 2 s. */
public interface EngineAdmin {
  /** Reads the state of the engine at an address. */
  CompletableFuture<EngineState> readState(String address);

  /** Sends an order. Fails if the engine refuses it or does not answer. */
  CompletableFuture<Void> send(String address, EngineOrder order);
}
