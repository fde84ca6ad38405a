package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Takes an availability zone out of service or brings it back. */
abstract class ZoneCommand extends ChangeCommand {
  @Required
  @Arguments(title = "ZONE", description = "The availability zone")
  private String zone = "";

  /** Returns the last segment of the request path: {@code out} or {@code in}. */
  abstract String action();

  @Override
  void run(ToolContext ctx) {
    if (!zone.matches("[A-Za-z0-9._-]{1,100}")) {
      throw new ToolException(ExitCode.USAGE, ToolMessage.BAD_ZONE, zone);
    }
    EntryClient client = client(ctx);
    String id = printOperationId(ctx);
    String path = "/admin/v1/zones/" + zone + "/" + action();
    Answer a = client.change("POST", path, "application/json", "", id);
    if (json()) {
      ctx.out()
          .println(
              JSON.createObjectNode()
                  .put("zone", zone)
                  .put("state", action())
                  .put("operationId", id)
                  .put("entry", a.entry()));
      return;
    }
    ctx.out().println(ToolMessage.ZONE_SET.format(zone, action(), a.entry()));
  }
}
