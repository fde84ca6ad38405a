package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.ebonypond.document.ServiceDocument;

/** Validates a service document without sending it. */
@Command(name = "validate", description = "Validate a service document without sending it")
public class ValidateCommand extends ToolCommand {
  @Required
  @Arguments(title = "FILE", description = "The TOML file")
  private String file = "";

  @Override
  void run(ToolContext ctx) {
    ServiceDocument d = DocumentFile.read(file);
    if (json()) {
      ctx.out().println(JSON.createObjectNode().put("valid", true).put("version", d.version()));
      return;
    }
    ctx.out()
        .println(
            ToolMessage.VALID_DOCUMENT.format(
                file, d.version(), d.models().size(), d.services().size(), d.workspaces().size()));
  }
}
