/**
 * Stand-ins for backend servers: a simulated model engine and a simulated plain service over HTTP,
 * which load runs start as processes in place of real ones. The endpoints under {@code /judge}
 * return counters and inject faults.
 */
@NullMarked
package org.ebonypond.junit.http;

import org.jspecify.annotations.NullMarked;
