package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Command;

/** Brings an availability zone back into service. */
@Command(name = "in", description = "Bring an availability zone back into service")
public class ZoneInCommand extends ZoneCommand {
  @Override
  String action() {
    return "in";
  }
}
