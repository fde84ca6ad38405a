package org.ebonypond.server.fleet;

import java.util.concurrent.CompletableFuture;
import org.ebonypond.fleet.FleetOrder;
import org.ebonypond.fleet.OrderOutcome;

/** Sends orders to instances. */
public interface OrderSender {
  /** Sends an order; the outcome is {@link OrderOutcome#UNKNOWN} if no answer arrives in time. */
  CompletableFuture<OrderOutcome> send(FleetOrder order);
}
