package org.ebonypond.server.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpResponse;
import java.io.ByteArrayOutputStream;
import org.ebonypond.forward.EventSplitter;
import org.ebonypond.server.http1.HttpCall;

/**
 * The answer to a caller while it is written. A stream may come from several instances in turn:
 * each continues after the last complete event.
 */
final class CallerAnswer {
  private final HttpCall call;
  private EventSplitter splitter;
  private final ByteArrayOutputStream events = new ByteArrayOutputStream();
  private boolean started;
  private long firstOutputAt;
  private long lastWriteAt;
  private int writtenEvents;
  private long longestGapMillis;

  /**
   * Creates an answer that is not started.
   *
   * @param resumeAfter the identifier of the last event that the caller has already; may be empty
   */
  CallerAnswer(HttpCall call, String resumeAfter) {
    this.call = call;
    this.splitter = new EventSplitter(resumeAfter);
  }

  boolean isStarted() {
    return started;
  }

  long firstOutputAt() {
    return firstOutputAt;
  }

  /** Returns the number of events that were written. */
  int writtenEvents() {
    return writtenEvents;
  }

  /** Returns the longest time between two writes of a stream, in milliseconds. */
  long longestGapMillis() {
    return longestGapMillis;
  }

  /** Returns the identifier of the last complete event; may be empty. */
  String lastId() {
    return splitter.lastId();
  }

  /** Returns a splitter for an instance that continues after the last complete event. */
  EventSplitter newSplitter() {
    return splitter.continuation();
  }

  /** Sends the head of a stream. */
  void start(HttpResponse head, long now) {
    started = true;
    firstOutputAt = now;
    call.start(head);
  }

  /** Returns whether another instance can continue the stream. */
  boolean isResumable() {
    return splitter.isResumable();
  }

  /**
   * Takes bytes of a stream. Nothing is written yet.
   *
   * @param s the splitter of the instance that sent them
   * @throws org.ebonypond.errors.EbonypondException if they are no valid events; those before the
   *     first invalid one count as completed
   */
  void feed(EventSplitter s, byte[] bytes) {
    events.reset();
    s.feed(bytes, events);
  }

  /**
   * Writes the events that the last bytes completed.
   *
   * @param s the splitter of the instance that sent them; the answer continues with it
   */
  void writeEvents(EventSplitter s, long now) {
    splitter = s;
    writtenEvents += s.events();
    longestGapMillis = lastWriteAt == 0 ? 0 : Math.max(longestGapMillis, now - lastWriteAt);
    lastWriteAt = now;
    call.writeContent(Unpooled.wrappedBuffer(events.toByteArray()));
  }

  /** Writes what follows the last event of a complete stream. */
  void finishEvents(EventSplitter s) {
    splitter = s;
    events.reset();
    s.finish(events);
    if (events.size() > 0) {
      call.writeContent(Unpooled.wrappedBuffer(events.toByteArray()));
    }
  }

  void end() {
    call.end();
  }

  /** Sends an answer that is no stream. */
  void answerWhole(HttpResponse head, ByteBuf body) {
    call.answer(head, body);
  }

  boolean isWritable() {
    return call.isWritable();
  }
}
