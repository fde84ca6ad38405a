/** The plug-in registry. */
@NullMarked
package org.ebonypond.kernel;

import org.jspecify.annotations.NullMarked;
