package org.ebonypond.events;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class EventCatalogueTest {
  /**
   * Guards against events that are missing from the catalogue, and against entries of removed
   * events.
   */
  @Test
  void catalogueListsEveryEventOnce() throws IOException {
    List<String> listed = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("..", "docs", "events.md"))) {
      if (!line.startsWith("| EP")) {
        continue;
      }
      String[] cells = line.split("\\|", -1);
      assertEquals(6, cells.length, line);
      for (int i = 1; i <= 4; i++) {
        assertEquals(false, cells[i].isBlank(), line);
      }
      listed.add(cells[1].strip() + " " + cells[2].strip());
    }
    List<String> expected =
        Arrays.stream(EventCode.values()).map(c -> c.label() + " " + c.name()).toList();
    assertEquals(expected, listed);
  }
}
