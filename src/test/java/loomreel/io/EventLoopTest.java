package loomreel.io;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the order of timers and the handling of exceptions in tasks. */
@Timeout(60)
class EventLoopTest {
  private final List<String> executedTasks = new ArrayList<>();

  @Test
  void timersRunByTimeThenInTheOrderOfScheduling() throws Exception {
    try (EventLoop loop = new EventLoop(new BufferPool(1))) {
      long start = loop.now();
      loop.schedule(start + 2, () -> executedTasks.add("second"));
      loop.schedule(start + 2, () -> executedTasks.add("third"));
      loop.schedule(start + 1, () -> executedTasks.add("first"));
      loop.schedule(start + 3, loop::stop);

      loop.run();

      assertEquals(List.of("first", "second", "third"), executedTasks);
    }
  }

  @Test
  void aCancelledTimerDoesNotRun() throws Exception {
    try (EventLoop loop = new EventLoop(new BufferPool(1))) {
      EventLoop.Timer cancelled =
          loop.schedule(loop.now() + 2, () -> executedTasks.add("cancelled"));
      loop.schedule(loop.now() + 1, cancelled::cancel);
      loop.schedule(loop.now() + 3, loop::stop);

      loop.run();

      assertEquals(List.of(), executedTasks);
    }
  }

  @Test
  void aTimerThatReschedulesItselfRunsOncePerIteration() throws Exception {
    try (EventLoop loop = new EventLoop(new BufferPool(1))) {
      long start = loop.now();
      loop.schedule(
          start,
          () -> {
            executedTasks.add("rescheduled");
            loop.schedule(start, () -> executedTasks.add("too early"));
          });
      loop.schedule(start, loop::stop);

      loop.run();

      assertEquals(List.of("rescheduled"), executedTasks);
    }
  }

  @Test
  void anExceptionInATaskEndsNeitherTheLoopNorOtherTasks() throws Exception {
    try (EventLoop loop = new EventLoop(new BufferPool(1))) {
      loop.execute(
          () -> {
            throw new IllegalStateException("thrown by a test");
          });
      loop.execute(() -> executedTasks.add("other"));
      loop.execute(loop::stop);

      loop.run();

      assertEquals(List.of("other"), executedTasks);
    }
  }
}
