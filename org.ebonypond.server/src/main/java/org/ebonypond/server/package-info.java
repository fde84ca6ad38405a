/** The {@code ebonypondd} daemon and its command line. */
@NullMarked
package org.ebonypond.server;

import org.jspecify.annotations.NullMarked;
