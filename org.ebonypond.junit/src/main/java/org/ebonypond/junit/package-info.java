/** Hand-written fakes for tests: a manual clock, faulty messages, engines, services and entries. */
@NullMarked
package org.ebonypond.junit;

import org.jspecify.annotations.NullMarked;
