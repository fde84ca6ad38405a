/** Reassembly of streamed answers, and the decision whether a stream resumes on another group. */
@NullMarked
package org.ebonypond.stream;

import org.jspecify.annotations.NullMarked;
