/** Hand-written fakes for tests: a manual clock, an in-memory network and an in-memory disk. */
@NullMarked
package org.ebonypond.junit;

import org.jspecify.annotations.NullMarked;
