package org.ebonypond.server.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.ebonypond.junit.FakeWallClock;
import org.ebonypond.junit.ManualTimerService;
import org.ebonypond.server.control.AnnouncementRelay;
import org.ebonypond.server.control.InstanceReport;
import org.ebonypond.server.control.ManualPeers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class AnnounceHandlerTest {
  private static final String ANNOUNCEMENT =
      """
      {"kind": "engine", "status": "ready", "instance": "i-1", "boot": "b", "address": "ADDRESS",
       "zone": "a", "domain": "d", "engineKind": "k", "group": "", "fencing": 3,
       "load": {"measuredAt": 990, "active": 2, "waiting": 1, "tokens": 70}}
      """;

  private final ManualTimerService timers = new ManualTimerService();
  private final AnnounceHandler handler =
      new AnnounceHandler(
          new AnnouncementRelay(
              new ManualPeers(),
              timers,
              new FakeWallClock(timers).newDetector(),
              List.of(),
              () -> null),
          () -> 1_000);

  private InstanceReport.Item read(String address) throws IOException {
    return handler.read(new ObjectMapper().readTree(ANNOUNCEMENT.replace("ADDRESS", address)));
  }

  @Test
  void announcementIsRead() throws IOException {
    InstanceReport.Item item = read("10.0.0.1:8000");
    assertEquals("10.0.0.1:8000", item.announcement().address());
    assertEquals(3, item.announcement().fencing());
    assertEquals(10, item.load().ageMillis());
    assertEquals("engine-1.internal:80", read("engine-1.internal:80").announcement().address());
  }

  /** Guards against a registered instance that no order, read or request can reach. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "10.0.0.1",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:-1",
        "10.0.0.1:99999999999",
        "10.0.0.1:x",
        "a b:80",
        "[:80",
        "user@10.0.0.1:80",
        "10.0.0.1:80/x",
        ":80",
      })
  void addressThatIsNotHostAndPortIsRefused(String address) {
    EbonypondException e = assertThrows(EbonypondException.class, () -> read(address));
    assertEquals(ErrorCode.BAD_REQUEST, e.code());
  }
}
