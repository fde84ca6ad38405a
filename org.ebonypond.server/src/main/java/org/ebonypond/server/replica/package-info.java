/** Runs the replicas of a process on their threads and connects them to the network. */
@NullMarked
package org.ebonypond.server.replica;

import org.jspecify.annotations.NullMarked;
