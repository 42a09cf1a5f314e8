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
 * Tests several dispatchers with random sequences of possible events from a fixed seed. {@link
 * RuleCheckingDispatcher} checks each action against the rules of the platform that concern one
 * dispatcher, and this test checks rule 4, which concerns all of them. Workers are not simulated.
 */
class RandomEventsTest {
  private static final int DISPATCHER_COUNT = 4;
  private static final int WORKER_COUNT = 12;
  private static final int RUN_SECONDS = 60;

  private final List<RuleCheckingDispatcher> dispatchers = new ArrayList<>();

  /** The time, in microseconds, of the last restart of each worker that has restarted. */
  private final Map<String, Long> restartTimeMicrosByWorker = new HashMap<>();

  private RandomEvents randomEvents;
  private long arrivalCount;

  @ParameterizedTest
  @CsvSource({
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
      LoadReporting reporting,
      boolean pollsEndpoints) {
    randomEvents = new RandomEvents(seed);
    Settings settings =
        DispatcherHarness.settings(
            DISPATCHER_COUNT, hedging, healthChecks, reporting, pollsEndpoints);
    for (int number = 0; number < DISPATCHER_COUNT; number++) {
      RuleCheckingDispatcher dispatcher =
          new RuleCheckingDispatcher(randomEvents, number, settings);
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
   * Lets each dispatcher handle the events that are due, and adds random arrivals, endpoint changes
   * and restarts.
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
   * Reports to all dispatchers that a random worker has joined or restarted, drains, or was
   * removed.
   */
  private void changeEndpoint() {
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

  /** Replaces a dispatcher with a new one that gets the same endpoint list but no other state. */
  private void restartDispatcher(int number) {
    RuleCheckingDispatcher previous = dispatchers.get(number);
    Set<String> ids = new HashSet<>(previous.endpoints.keySet());
    List<Endpoint> endpoints = new ArrayList<>(previous.endpoints.values());
    RuleCheckingDispatcher replacement =
        new RuleCheckingDispatcher(randomEvents, number, previous.settings);
    dispatchers.set(number, replacement);
    replacement.update(endpoints);
    assertEquals(ids, replacement.endpoints.keySet());
  }

  /**
   * Asserts rule 4: in the first overload window after its restart, a worker gets no more attempts
   * than a fraction of the overload multiple of its equal part of all attempts, plus a margin for
   * chance.
   */
  private void assertNotOverloaded(String worker, long startedAtMicros) {
    long windowMicros = DispatcherHarness.RULES.overloadWindow();
    double equalPartOfAttempts =
        (double) randomEvents.attemptCount / RUN_SECONDS / WORKER_COUNT * windowMicros / SECOND;
    double limit = DispatcherHarness.RULES.overloadMultiple() * equalPartOfAttempts * 0.35 + 3;
    long attempts = randomEvents.attemptsBefore(worker, startedAtMicros + windowMicros);
    assertTrue(
        attempts <= limit, "rule 4: " + attempts + " attempts at " + worker + ", at most " + limit);
  }
}
