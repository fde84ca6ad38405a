/** The checked settings of the daemon. */
@NullMarked
package org.ebonypond.server.settings;

import org.jspecify.annotations.NullMarked;
