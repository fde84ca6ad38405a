/** The MessagePack codec and the compression of messages between processes and of log entries. */
@NullMarked
package org.ebonypond.wire;

import org.jspecify.annotations.NullMarked;
