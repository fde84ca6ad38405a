package org.ebonypond.pgm;

import com.github.rvesse.airline.annotations.Option;

/** Base class of the commands that change the system. */
abstract class ChangeCommand extends EntryCommand {
  @Option(
      name = "--operation-id",
      title = "ID",
      description =
          "The operation identifier that an earlier attempt printed; the system returns the result"
              + " of that attempt if it took effect")
  private String operationId = "";

  /** Prints and returns the operation identifier; called before the first request is sent. */
  final String printOperationId(ToolContext ctx) {
    String id = operationId.isEmpty() ? ctx.operationIds().get() : operationId;
    if (!id.matches("[A-Za-z0-9._-]{1,100}")) {
      throw new ToolException(ExitCode.USAGE, ToolMessage.BAD_OPERATION_ID, id);
    }
    ctx.err().println(ToolMessage.OPERATION_ID.format(id));
    return id;
  }
}
