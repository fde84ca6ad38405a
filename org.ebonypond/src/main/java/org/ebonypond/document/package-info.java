/** The service document: its records, its parser and its validation. */
@NullMarked
package org.ebonypond.document;

import org.jspecify.annotations.NullMarked;
