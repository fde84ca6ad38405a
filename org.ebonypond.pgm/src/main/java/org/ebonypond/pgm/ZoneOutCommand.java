package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Command;

/** Takes an availability zone out of service. */
@Command(name = "out", description = "Take an availability zone out of service")
public class ZoneOutCommand extends ZoneCommand {
  @Override
  String action() {
    return "out";
  }
}
