/** Numbered events that record every decision of the system and its causes. */
@NullMarked
package org.ebonypond.events;

import org.jspecify.annotations.NullMarked;
