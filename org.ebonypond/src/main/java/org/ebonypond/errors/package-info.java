/** Unchecked errors with stable codes and the bundle of user messages. */
@NullMarked
package org.ebonypond.errors;

import org.jspecify.annotations.NullMarked;
