package org.ebonypond.server.backend;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * A complete answer of a backend server.
 *
 * @param status the status code
 * @param headers the headers
 * @param body the body
 */
record BackendAnswer(int status, HttpHeaders headers, byte[] body) {}
