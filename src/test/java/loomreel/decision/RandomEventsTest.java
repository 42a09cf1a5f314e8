package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Settings.LoadReporting;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Delivers random but possible events to several dispatchers, from a fixed seed, and checks that
 * their actions follow the rules of the platform. {@link RuleCheckingDispatcher} states the rules
 * and checks those that concern a single dispatcher. This test checks rule 4, which limits the
 * attempts of all dispatchers together. Workers are not simulated: the load reports and the
 * outcomes of attempts are random.
 */
class RandomEventsTest {
  private static final int DISPATCHER_COUNT = 4;
  private static final int WORKER_COUNT = 12;
  private static final int RUN_SECONDS = 60;

  private final List<RuleCheckingDispatcher> dispatchers = new ArrayList<>();

  /** The time, in microseconds, of the last restart of each worker that has restarted. */
  private final Map<String, Long> restartTimeMicrosByWorker = new HashMap<>();

  private RandomEvents randomEvents;

  /** The number of requests that have arrived at all dispatchers. */
  private long arrivalCount;

  @ParameterizedTest
  @CsvSource({
    // seed, hedging, healthChecks, loadReporting, pollsEndpoints
    "1,true,true,WITH_ANSWERS,false",
    "2,false,false,WITH_ANSWERS,false",
    "3,true,true,WITH_HEALTH_CHECKS,true",
    "4,true,false,NONE,false",
    "5,false,true,WITH_ANSWERS,true",
    "6,true,true,WITH_ANSWERS,false"
  })
  void everyActionFollowsTheRulesOfThePlatform(
      int seed,
      boolean hedging,
      boolean healthChecks,
      LoadReporting loadReporting,
      boolean pollsEndpoints) {
    randomEvents = new RandomEvents(seed);
    Settings settings =
        DispatcherHarness.settings(
            DISPATCHER_COUNT, hedging, healthChecks, loadReporting, pollsEndpoints);
    for (int dispatcherNumber = 0; dispatcherNumber < DISPATCHER_COUNT; dispatcherNumber++) {
      RuleCheckingDispatcher dispatcher =
          new RuleCheckingDispatcher(randomEvents, dispatcherNumber, settings);
      dispatchers.add(dispatcher);
      dispatcher.update(DispatcherHarness.endpoints(WORKER_COUNT));
    }

    for (long endMicros = randomEvents.nowMicros + RUN_SECONDS * SECOND;
        randomEvents.nowMicros < endMicros;
        randomEvents.nowMicros += RandomEvents.TICK_MICROS) {
      step();
    }

    assertTrue(
        randomEvents.attemptCount > arrivalCount / 6,
        randomEvents.attemptCount + " attempts for " + arrivalCount + " arrivals");
    restartTimeMicrosByWorker.forEach(this::assertNotOverloaded);
  }

  /**
   * Delivers to each dispatcher the events that are due. At random, also delivers new requests and
   * changed endpoints, and restarts dispatchers.
   */
  private void step() {
    Random random = randomEvents.random;
    for (RuleCheckingDispatcher dispatcher : dispatchers) {
      dispatcher.step();
      if (random.nextInt(40) == 0) {
        dispatcher.arrive();
        arrivalCount++;
      }
    }
    if (random.nextInt(1500) == 0) {
      changeEndpoint();
    }
    if (random.nextInt(8000) == 0) {
      restartDispatcher(random.nextInt(dispatchers.size()));
    }
  }

  /**
   * Draws a worker and its new state, and delivers the change to all dispatchers. If the new state
   * is ready, the worker starts or restarts at the current time. If the new state is draining or
   * removed, the endpoint has the start time 0.
   */
  private void changeEndpoint() {
    // The workers with the numbers from WORKER_COUNT to 15 are not in the first endpoint list.
    int number = randomEvents.random.nextInt(16);
    State state =
        randomEvents.random.nextInt(3) == 0
            ? List.of(State.READY, State.DRAINING, State.REMOVED)
                .get(randomEvents.random.nextInt(3))
            : State.READY;
    boolean isRestart = state == State.READY;
    Endpoint endpoint =
        DispatcherHarness.endpoint(number, state, isRestart ? randomEvents.nowMicros : 0);
    if (isRestart) {
      restartTimeMicrosByWorker.put(endpoint.id(), randomEvents.nowMicros);
      randomEvents.resetAttempts(endpoint.id());
    }
    dispatchers.forEach(dispatcher -> dispatcher.update(List.of(endpoint)));
  }

  /**
   * Replaces a dispatcher with a new dispatcher, which gets the endpoint list of the previous one
   * but none of its other state.
   */
  private void restartDispatcher(int dispatcherNumber) {
    RuleCheckingDispatcher previous = dispatchers.get(dispatcherNumber);
    Set<String> ids = new HashSet<>(previous.endpoints.keySet());
    List<Endpoint> endpoints = new ArrayList<>(previous.endpoints.values());
    RuleCheckingDispatcher replacement =
        new RuleCheckingDispatcher(randomEvents, dispatcherNumber, previous.settings);
    dispatchers.set(dispatcherNumber, replacement);
    replacement.update(endpoints);
    assertEquals(ids, replacement.endpoints.keySet());
  }

  /**
   * Asserts rule 4 for the last start or restart of a worker. The rule limits the attempts at the
   * worker in the overload window that begins at this time. The mean is the number of attempts that
   * one of {@link #WORKER_COUNT} workers gets on average in a window of this length. The limit is
   * the mean times the overload multiple times 0.35, plus 3 attempts as a margin for chance. The
   * factor 0.35 is an upper bound of the fraction of its full capacity that the worker has in the
   * window. With {@link DispatcherHarness#RULES}, this fraction grows from 0.2 to 0.28.
   */
  private void assertNotOverloaded(String worker, long restartedAtMicros) {
    long windowMicros = DispatcherHarness.RULES.overloadWindow();
    double meanAttemptsPerWindow =
        (double) randomEvents.attemptCount / RUN_SECONDS / WORKER_COUNT * windowMicros / SECOND;
    double limit = DispatcherHarness.RULES.overloadMultiple() * meanAttemptsPerWindow * 0.35 + 3;
    long attempts = randomEvents.attemptsBefore(worker, restartedAtMicros + windowMicros);
    assertTrue(
        attempts <= limit, "rule 4: " + attempts + " attempts at " + worker + ", at most " + limit);
  }
}
