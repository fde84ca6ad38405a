/** Unchecked exceptions with stable error codes, and the bundle of user messages. */
@NullMarked
package org.ebonypond.errors;

import org.jspecify.annotations.NullMarked;
