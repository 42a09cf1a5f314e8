package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.attempts;
import static loomreel.decision.DispatcherHarness.loadReport;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Settings.LoadReporting;
import org.junit.jupiter.api.Test;

/** Tests how much work dispatchers send to workers that warm up. */
class SlowStartTest {
  /**
   * Verifies that 30 dispatchers together do not overload a worker in the 2 s after the worker
   * restarts. The capacity of the worker grows from 0.2 to 1 of its full capacity within 20 s, so
   * it is 0.28 of the full capacity after 2 s. The overload multiple is 3. Therefore, the worker
   * may get at most 3 times 0.28 of the attempts that a warm worker gets in 2 s.
   */
  @Test
  void allDispatchersTogetherDoNotOverloadAColdWorker() {
    int dispatcherCount = 30;
    int attemptsAtColdWorker = 0;
    int allAttempts = 0;
    // The clock of each dispatcher starts at this time.
    long startMicros = 100 * SECOND;
    for (int seed = 0; seed < dispatcherCount; seed++) {
      DispatcherHarness dispatcher =
          new DispatcherHarness(
              DispatcherHarness.settings(
                  dispatcherCount, true, false, LoadReporting.WITH_ANSWERS, false),
              seed);
      dispatcher.handle(new EndpointSnapshot(DispatcherHarness.endpoints(20)));
      for (int i = 0; i < 400; i++) {
        if (i == 200) {
          dispatcher.updateEndpoint(7, State.READY, dispatcher.nowMicros);
        }
        for (StartAttempt attempt :
            attempts(dispatcher.arrive("r" + i, "key" + i, DispatcherHarness.IDEMPOTENT_CLASS))) {
          if (dispatcher.nowMicros < startMicros + 22 * SECOND) {
            allAttempts++;
            attemptsAtColdWorker += i >= 200 && attempt.workerId().equals("w07") ? 1 : 0;
          }
          dispatcher.endAttempt("r" + i, 0, attempt.workerId(), AttemptOutcome.OK);
        }
        dispatcher.nowMicros += SECOND / 10;
      }
    }

    // In these 2 s, each dispatcher sends 10 requests per second, spread over 20 workers.
    double attemptsAtWarmWorker = 2.0 * dispatcherCount * 10 / 20;
    assertTrue(
        attemptsAtColdWorker <= attemptsAtWarmWorker * 3 * 0.28,
        attemptsAtColdWorker
            + " attempts at the cold worker within 2 s of its restart; a warm worker gets "
            + attemptsAtWarmWorker);
    // All dispatchers together get 6600 requests in the first 22 s.
    assertTrue(allAttempts > 5000);
  }

  /**
   * Verifies that a dispatcher uses its workers but does not overload them if the dispatcher and
   * all workers have just started. Within 2 s, the dispatcher must send more work than the workers
   * can do in this time, but less than the overload multiple times that work.
   */
  @Test
  void coldWorkersAreFullyUsedButNotOverloadedIfNoWorkerIsWarm() {
    DispatcherHarness dispatcher = DispatcherHarness.withHealthChecks(1, 7);
    dispatcher.handle(
        new EndpointSnapshot(
            List.of(
                DispatcherHarness.endpoint(0, State.READY, dispatcher.nowMicros),
                DispatcherHarness.endpoint(1, State.READY, dispatcher.nowMicros))));
    double workMicrosPerRequest = 20_000;
    double workMicros = 0;
    double capacityMicros = 0;
    for (int i = 0; i < 200; i++) {
      dispatcher.nowMicros += SECOND / 100;
      for (String worker : List.of("w00", "w01")) {
        dispatcher.reportHealth(worker, loadReport(0, 0, 4));
      }
      // Each of the two workers has four slots. A slot of a warm worker does at least 0.45
      // microseconds of work per microsecond. A worker starts with 0.2 of its capacity. It would
      // have its full capacity after 20 s, that is, after 2000 iterations of this loop.
      capacityMicros += 2 * 4 * 0.45 * (0.2 + 0.8 * i / 2000) * SECOND / 100;
      String id = "r" + i;
      List<StartAttempt> sent =
          attempts(
              dispatcher.handle(
                  dispatcher.request(
                      id, null, DispatcherHarness.IDEMPOTENT_CLASS, workMicrosPerRequest)));
      workMicros += sent.size() * workMicrosPerRequest;
      for (StartAttempt attempt : sent) {
        dispatcher.endAttempt(id, 0, attempt.workerId(), AttemptOutcome.OK);
      }
    }

    double overloadMicros = DispatcherHarness.RULES.overloadMultiple() * capacityMicros;
    assertTrue(workMicros > capacityMicros, "sent " + workMicros + ", capacity " + capacityMicros);
    // The message states the capacity. The limit is the capacity times the overload multiple.
    assertTrue(workMicros < overloadMicros, "sent " + workMicros + ", capacity " + capacityMicros);
  }
}
