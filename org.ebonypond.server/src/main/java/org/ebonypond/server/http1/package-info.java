/**
 * An HTTP/1.1 server and client on Netty for the forwarding path. Ratpack is not used here because
 * its server answers from a handler chain and its client pools connections by host. Forwarding must
 * see each part of a body, each reset and each early close on both sides, and must know which bytes
 * belong to which request.
 */
@NullMarked
package org.ebonypond.server.http1;

import org.jspecify.annotations.NullMarked;
