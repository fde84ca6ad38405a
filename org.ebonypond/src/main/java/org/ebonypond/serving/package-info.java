/** The configuration that operators install: routes, services, engines, workspaces and limits. */
@NullMarked
package org.ebonypond.serving;

import org.jspecify.annotations.NullMarked;
