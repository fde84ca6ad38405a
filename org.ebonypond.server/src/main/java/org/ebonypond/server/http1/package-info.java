/**
 * A plain HTTP/1.1 server and client on Netty for the forwarding path. Ratpack's server answers
 * from a handler chain and its client pools connections by host; forwarding needs to see each
 * piece, each reset and each early close of both sides, and which bytes belong to which request.
 */
@NullMarked
package org.ebonypond.server.http1;

import org.jspecify.annotations.NullMarked;
