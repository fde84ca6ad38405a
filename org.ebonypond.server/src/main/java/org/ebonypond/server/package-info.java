/** The ebonypondd daemon. */
@NullMarked
package org.ebonypond.server;

import org.jspecify.annotations.NullMarked;
