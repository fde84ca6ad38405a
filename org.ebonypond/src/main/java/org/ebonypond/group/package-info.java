/** Formation and repair of groups, failure detection of instances, and orders to engines. */
@NullMarked
package org.ebonypond.group;

import org.jspecify.annotations.NullMarked;
