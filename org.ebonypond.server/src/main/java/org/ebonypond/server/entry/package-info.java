/** What an entry does for callers: admission, routing, dispatch, retries and answers. */
@NullMarked
package org.ebonypond.server.entry;

import org.jspecify.annotations.NullMarked;
