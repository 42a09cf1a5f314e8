package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import loomreel.program.harness.DispatcherProcess;
import loomreel.program.harness.HotRestartRelay;
import loomreel.program.harness.HotRestartRelay.Sender;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Verifies operator overrides during a hot restart, in which an old process and its successor run
 * at the same time. Operators change overrides at one process while messages about other changes
 * are in transit between the processes. No change is lost. In the end, all processes and the stored
 * file have the same overrides.
 *
 * <p>The only overrides that the tests change are those that disable a worker. In the tests with
 * two processes, a relay between the processes can hold their messages.
 */
@Timeout(120)
class OperatorOverrideRaceTest {
  /** The name of the statistic that counts the disabled workers. */
  private static final String DISABLED_WORKERS = "hosts_down";

  // The indexes of the processes, in the order in which they are started.
  private static final int OLD = 0;
  private static final int NEW = 1;
  private static final int NEWEST = 2;

  /** Returns the file with the port on which a process accepts the connection of its successor. */
  private static Path portFile(DispatcherProcess program) {
    return program.temporaryDirectory().resolve("n0.tie");
  }

  /** Returns the text of the file in which the processes store the overrides. */
  private static String storedOverrides(DispatcherProcess program) throws Exception {
    return Files.readString(program.temporaryDirectory().resolve("n0.state"));
  }

  /** Waits until a process has handled all messages that the relay has passed on to the process. */
  private static void awaitMessagesHandled(DispatcherProcess program, int process)
      throws Exception {
    // The process serves the second request in a later iteration of the event loop than the first.
    program.callManagement(process, "GET", "readiness", "");
    program.callManagement(process, "GET", "readiness", "");
  }

  /**
   * When the successor connects, the old process sends all its overrides. The relay holds this
   * message. Meanwhile operators disable a worker at the successor and enable another worker.
   */
  @Test
  void aChangeAtTheSuccessorIsKeptWhenTheOldProcessSendsItsOverrides() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(3);
        HotRestartRelay relay = new HotRestartRelay(portFile(program))) {
      program.disableWorker(OLD, "w0");
      program.disableWorker(OLD, "w1");
      relay.hold(Sender.OLD);
      program.startSuccessor();
      program.disableWorker(NEW, "w2");
      program.enableWorker(NEW, "w1");
      program.awaitStatistic(OLD, DISABLED_WORKERS, 2);

      relay.release(Sender.OLD);

      assertEquals("down w0\ndown w1\n", relay.receive(Sender.OLD).body());
      awaitMessagesHandled(program, NEW);
      assertEquals(2, program.statistic(NEW, DISABLED_WORKERS));
      assertEquals(2, program.statistic(OLD, DISABLED_WORKERS));
      assertEquals("down w0\ndown w2\n", storedOverrides(program));
    }
  }

  /**
   * Operators disable w0 at the old process. At the successor, they disable and enable the same
   * worker. At that time, neither process has received a message about a change at the other.
   */
  @Test
  void crossingChangesOfOneOverrideHaveTheSameResultInBothProcesses() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(2);
        HotRestartRelay relay = new HotRestartRelay(portFile(program))) {
      program.startSuccessor();
      relay.receive(Sender.OLD);
      relay.hold(Sender.OLD);
      relay.hold(Sender.NEW);
      program.disableWorker(OLD, "w0");
      program.disableWorker(NEW, "w0");
      program.enableWorker(NEW, "w0");

      relay.release(Sender.OLD);
      program.awaitStatistic(NEW, DISABLED_WORKERS, 1);
      relay.release(Sender.NEW);

      program.awaitStatistic(OLD, DISABLED_WORKERS, 0);
      program.awaitStatistic(NEW, DISABLED_WORKERS, 0);
      awaitMessagesHandled(program, OLD);
      assertEquals("", storedOverrides(program));
    }
  }

  /**
   * Operators disable a worker at the old process. The relay holds the message about this change,
   * so the worker is still enabled at the successor. Then operators enable the worker at the
   * successor. Although this request changes nothing at the successor, the old process enables the
   * worker. In the end, the held message has been delivered, and both processes have the worker
   * enabled.
   */
  @Test
  void enablingAWorkerAtTheSuccessorPrevailsOverAnEarlierDisablingInTransit() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(2);
        HotRestartRelay relay = new HotRestartRelay(portFile(program))) {
      program.startSuccessor();
      relay.receive(Sender.OLD);
      relay.hold(Sender.OLD);
      program.disableWorker(OLD, "w0");
      program.enableWorker(NEW, "w0");
      program.awaitStatistic(OLD, DISABLED_WORKERS, 0);

      relay.release(Sender.OLD);

      relay.receive(Sender.OLD);
      relay.receive(Sender.OLD);
      awaitMessagesHandled(program, NEW);
      assertEquals(0, program.statistic(NEW, DISABLED_WORKERS));
      assertEquals("", storedOverrides(program));
    }
  }

  /** The third process starts while the first one is still running. */
  @Test
  void anOverrideReachesEachOfThreeProcesses() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.supervised(2)) {
      program.startSuccessor();
      program.startSuccessor();

      program.disableWorker(OLD, "w0");
      program.awaitStatistic(NEWEST, DISABLED_WORKERS, 1);
      program.disableWorker(NEWEST, "w1");
      program.awaitStatistic(OLD, DISABLED_WORKERS, 2);

      assertEquals(2, program.statistic(NEW, DISABLED_WORKERS));
      assertEquals("down w0\ndown w1\n", storedOverrides(program));
    }
  }
}
