/** Durable state in the data folder. */
@NullMarked
package org.ebonypond.server.storage;

import org.jspecify.annotations.NullMarked;
