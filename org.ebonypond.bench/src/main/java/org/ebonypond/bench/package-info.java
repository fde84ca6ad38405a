/** Load and experiment programs. */
@NullMarked
package org.ebonypond.bench;

import org.jspecify.annotations.NullMarked;
