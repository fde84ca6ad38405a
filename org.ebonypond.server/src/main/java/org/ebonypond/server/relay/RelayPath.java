package org.ebonypond.server.relay;

import java.net.InetSocketAddress;

/**
 * The way of a connection to an instance through another entry.
 *
 * @param address where the other entry relays connections
 * @param observer learns how the other entry does
 */
public record RelayPath(InetSocketAddress address, RelayObserver observer) {}
