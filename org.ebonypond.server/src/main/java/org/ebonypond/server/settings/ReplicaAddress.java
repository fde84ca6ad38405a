package org.ebonypond.server.settings;

import java.net.InetSocketAddress;

/**
 * A control replica as the settings name it.
 *
 * @param name the replica's node name
 * @param address the numeric IP address and port of its peer interface
 */
public record ReplicaAddress(String name, InetSocketAddress address) {}
