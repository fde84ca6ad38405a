package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Command;

/** Prints the document in force. */
@Command(name = "get", description = "Print the service document in force")
public class GetCommand extends EntryCommand {
  @Override
  void run(ToolContext ctx) {
    Answer a = client(ctx).get("/admin/v1/document");
    if (json()) {
      ctx.out().println(JSON.createObjectNode().put("entry", a.entry()).put("document", a.body()));
      return;
    }
    ctx.out().print(a.body());
    if (!a.body().endsWith("\n")) {
      ctx.out().println();
    }
  }
}
