package org.ebonypond.server.settings;

import java.net.InetSocketAddress;

/**
 * A control replica that is listed in the settings.
 *
 * @param name the replica's node name
 * @param address the numeric IP address and port on which it listens for peers
 */
public record ReplicaAddress(String name, InetSocketAddress address) {}
