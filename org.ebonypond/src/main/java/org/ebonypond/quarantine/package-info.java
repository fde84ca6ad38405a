/**
 * The quarantine of requests and prompt parts that crash instances: what entries observe of them,
 * how they share it, and which parts they refuse. Has no I/O.
 */
@NullMarked
package org.ebonypond.quarantine;

import org.jspecify.annotations.NullMarked;
