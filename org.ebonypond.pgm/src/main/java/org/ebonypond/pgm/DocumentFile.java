package org.ebonypond.pgm;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import org.ebonypond.document.DocumentParser;
import org.ebonypond.document.ServiceDocument;
import org.ebonypond.errors.EbonypondException;

/** Reads a service document from a file. */
final class DocumentFile {
  private DocumentFile() {}

  /**
   * Reads and validates a document.
   *
   * @throws ToolException with {@code USAGE} if the file cannot be read, or with {@code REFUSED},
   *     the key, the line and a remedy if the document is invalid
   */
  static ServiceDocument read(String file) {
    try {
      return DocumentParser.parse(Files.readString(Path.of(file)));
    } catch (EbonypondException e) {
      throw new ToolException(
          ExitCode.REFUSED, ToolMessage.INVALID_DOCUMENT, file, String.valueOf(e.getMessage()));
    } catch (IOException | InvalidPathException e) {
      throw new ToolException(
          ExitCode.USAGE, ToolMessage.UNREADABLE_FILE, file, e.getClass().getSimpleName());
    }
  }
}
