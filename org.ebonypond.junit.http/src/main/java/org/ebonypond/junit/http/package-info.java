/** Stand-ins of backend servers: a model engine and a plain service, over HTTP. */
@NullMarked
package org.ebonypond.junit.http;

import org.jspecify.annotations.NullMarked;
