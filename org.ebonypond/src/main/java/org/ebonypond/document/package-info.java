/** The service document, its parser and its validation. */
@NullMarked
package org.ebonypond.document;

import org.jspecify.annotations.NullMarked;
