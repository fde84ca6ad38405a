package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.ebonypond.document.ServiceDocument;

/** Validates and applies a service document. */
@Command(
    name = "apply",
    description =
        "Apply a service document. Its version must be one above the version in force. If the"
            + " answer is lost, the same operation is sent again")
public class ApplyCommand extends ChangeCommand {
  @Required
  @Arguments(title = "FILE", description = "The TOML file")
  private String file = "";

  @Override
  void run(ToolContext ctx) {
    ServiceDocument d = DocumentFile.read(file);
    EntryClient client = client(ctx);
    String id = printOperationId(ctx);
    Answer a = client.change("PUT", "/admin/v1/document", "application/toml", d.source(), id);
    if (json()) {
      ctx.out()
          .println(
              JSON.createObjectNode()
                  .put("version", d.version())
                  .put("operationId", id)
                  .put("entry", a.entry()));
      return;
    }
    ctx.out().println(ToolMessage.DOCUMENT_APPLIED.format(d.version(), a.entry()));
  }
}
