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
 * Overrides that operators set while their messages are under way between the processes of a hot
 * restart: no change is lost, and in the end the processes and the file agree.
 */
@Timeout(120)
class OperatorOverrideRaceTest {
  /** The name of the statistic that counts the disabled workers. */
  private static final String DISABLED_WORKERS = "hosts_down";

  private static final int OLD = 0;
  private static final int NEW = 1;
  private static final int NEWEST = 2;

  private static Path portFile(DispatcherProcess program) {
    return program.temporaryDirectory().resolve("n0.tie");
  }

  private static String stored(DispatcherProcess program) throws Exception {
    return Files.readString(program.temporaryDirectory().resolve("n0.state"));
  }

  /** Waits until a process has acted on the messages that were passed on to it before. */
  private static void awaitMessagesRead(DispatcherProcess program, int process) throws Exception {
    // Of two requests that follow each other, the second is served in a later loop iteration.
    program.callManagement(process, "GET", "readiness", "");
    program.callManagement(process, "GET", "readiness", "");
  }

  /** An override set at the successor before those of the old process have arrived there. */
  @Test
  void anOverrideSetAtTheSuccessorOutlastsThoseOfTheOldProcess() throws Exception {
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
      awaitMessagesRead(program, NEW);
      assertEquals(2, program.statistic(NEW, DISABLED_WORKERS));
      assertEquals(2, program.statistic(OLD, DISABLED_WORKERS));
      assertEquals("down w0\ndown w2\n", stored(program));
    }
  }

  /** Both processes change the same override before the message of the other arrives. */
  @Test
  void changesOfOneOverrideThatCrossEndAlikeInBothProcesses() throws Exception {
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
      awaitMessagesRead(program, OLD);
      assertEquals("", stored(program));
    }
  }

  /** At the successor nothing has to be changed, but a change of the old process is under way. */
  @Test
  void aRequestWithoutEffectAtTheSuccessorRevokesTheChangeThatIsUnderWay() throws Exception {
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
      awaitMessagesRead(program, NEW);
      assertEquals(0, program.statistic(NEW, DISABLED_WORKERS));
      assertEquals("", stored(program));
    }
  }

  /** A third process starts while the first still ends its jobs. */
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
      assertEquals("down w0\ndown w1\n", stored(program));
    }
  }
}
