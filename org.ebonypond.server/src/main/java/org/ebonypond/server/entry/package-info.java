/** The request path of an entry: admission, routing, dispatch, retries and answers. */
@NullMarked
package org.ebonypond.server.entry;

import org.jspecify.annotations.NullMarked;
