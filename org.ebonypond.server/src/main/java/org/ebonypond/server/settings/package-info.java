/** Parsing and validation of the settings of the daemon. */
@NullMarked
package org.ebonypond.server.settings;

import org.jspecify.annotations.NullMarked;
