/** Discovery and lookup of plug-ins. */
@NullMarked
package org.ebonypond.kernel;

import org.jspecify.annotations.NullMarked;
