package org.ebonypond.pgm;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChangeCommandsTest extends ToolTestBase {
  private static final String PUT = "PUT /admin/v1/document";
  private static final String DOCUMENT = "version = 3\n";
  private static final String CONFLICT =
      "{\"code\":\"version-conflict\",\"detail\":\"version 3 is taken\",\"outcome\":\"not-run\"}";
  private static final String STALE =
      "{\"code\":\"view-stale\",\"detail\":\"retry another entry\",\"outcome\":\"not-run\"}";

  @TempDir Path folder;
  private String file = "";
  private FakeEntry first;
  private FakeEntry second;

  @BeforeEach
  void start() throws IOException {
    file = Files.writeString(folder.resolve("d.toml"), DOCUMENT).toString();
    first = new FakeEntry();
    second = new FakeEntry();
    environment.put("EBONYPOND_ENTRIES", first.address() + "," + second.address());
  }

  @AfterEach
  void stop() {
    first.close();
    second.close();
  }

  /** Guards against a resend under a new identifier, which the system would run as a new change. */
  @Test
  void lostAnswerIsResentWithSameOperationId() {
    first.answer(PUT, 0, "");
    second.answer(PUT, 200, "{}");
    assertEquals(0, run("apply", file));
    assertEquals(List.of(new FakeEntry.Received(PUT, "op-1", DOCUMENT)), first.received());
    assertEquals(first.received(), second.received());
    assertTrue(err().contains("operation op-1"), err());
    assertTrue(out().contains("document version 3 is accepted"), out());
  }

  /** Guards against exit code 1 or 3 for a change that may be in force. */
  @Test
  void onlyLostAnswersAreUnknownOutcome() {
    first.answer(PUT, 0, "");
    second.answer(PUT, 0, "");
    assertEquals(4, run("apply", file));
    assertTrue(err().contains("--operation-id op-1"), err());
  }

  /** Guards against exit code 1 for a later rejection when an earlier attempt may have run. */
  @Test
  void lostAnswerThenNotRunIsUnknownOutcome() {
    first.answer(PUT, 0, "");
    second.answer(PUT, 503, STALE);
    assertEquals(4, run("apply", file));
  }

  /** Guards against treating a server error without an outcome as not run. */
  @Test
  void serverErrorWithoutOutcomeIsUnknownOutcome() {
    first.answer(PUT, 500, "oops");
    second.answer(PUT, 500, "oops");
    assertEquals(4, run("apply", file));
  }

  /** Guards against sending a rejected document to further entries. */
  @Test
  void conflictIsRefusedAtOnce() {
    first.answer(PUT, 409, CONFLICT);
    assertEquals(1, run("apply", file));
    assertTrue(err().contains("version-conflict") && err().contains("version 3 is taken"), err());
    assertEquals(1, first.received().size());
    assertEquals(0, second.received().size());
  }

  /** Guards against giving up when only the first entry has a stale view. */
  @Test
  void staleEntryIsSkipped() {
    first.answer(PUT, 503, STALE);
    second.answer(PUT, 200, "{}");
    assertEquals(0, run("apply", file, "--json"));
    assertEquals(
        "{\"version\":3,\"operationId\":\"op-1\",\"entry\":\"" + second.address() + "\"}",
        out().strip());
  }

  /** Guards against exit code 4 when every entry states that the change was not run. */
  @Test
  void allEntriesStaleIsRefused() {
    first.answer(PUT, 503, STALE);
    second.answer(PUT, 503, STALE);
    assertEquals(1, run("apply", file));
  }

  /** Guards against exit code 4 when no connection could be opened. */
  @Test
  void noEntryReachedIsUnreachable() throws IOException {
    assertEquals(3, run("apply", file, "--entry", unusedAddress(), "--entry", unusedAddress()));
  }

  /** Guards against ignoring the operation identifier of a repeated change. */
  @Test
  void givenOperationIdIsUsed() {
    first.answer("POST /admin/v1/zones/java-a/out", 200, "{}");
    assertEquals(0, run("zone", "out", "java-a", "--operation-id", "op-old"));
    assertEquals("op-old", first.received().get(0).operationId());
    assertTrue(out().contains("java-a is out"), out());
  }

  /** Guards against sending an invalid document, and against an error without a remedy. */
  @Test
  void invalidDocumentIsNotSent() throws IOException {
    Files.writeString(Path.of(file), "version = 3\nverzion = 4\n");
    assertEquals(1, run("apply", file));
    assertEquals(1, run("validate", file));
    assertTrue(err().contains("line 2") && err().contains("verzion"), err());
    assertTrue(err().contains("remove it or use one of"), err());
    assertEquals(0, first.received().size());
  }
}
