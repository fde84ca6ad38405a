/** Fakes for the replicated log: a disk, a network and a cluster of replicas on a manual clock. */
@NullMarked
package org.ebonypond.junit.consensus;

import org.jspecify.annotations.NullMarked;
