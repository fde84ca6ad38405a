/** Numbered events that explain every decision of the system. */
@NullMarked
package org.ebonypond.events;

import org.jspecify.annotations.NullMarked;
