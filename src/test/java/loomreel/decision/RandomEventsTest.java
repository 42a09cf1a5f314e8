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
 * Several dispatchers get possible sequences of events, drawn from a fixed seed, and each action is
 * checked against the four rules of the platform by {@link RuleCheckingDispatcher}. No workers are
 * simulated.
 */
class RandomEventsTest {
  private static final int DISPATCHERS = 4;
  private static final int WORKERS = 12;
  private static final int RUN_SECONDS = 60;

  private final List<RuleCheckingDispatcher> dispatchers = new ArrayList<>();

  /** When the workers that have restarted did so last. */
  private final Map<String, Long> restartedAt = new HashMap<>();

  private RandomEvents run;
  private long arrivals;

  @ParameterizedTest
  @CsvSource({
    "1,true,true,WITH_ANSWERS,false",
    "2,false,false,WITH_ANSWERS,false",
    "3,true,true,WITH_HEALTH_CHECKS,true",
    "4,true,false,NONE,false",
    "5,false,true,WITH_ANSWERS,true",
    "6,true,true,WITH_ANSWERS,false"
  })
  void everyActionFollowsTheRules(
      int seed, boolean hedging, boolean healthChecks, LoadReporting reporting, boolean polls) {
    run = new RandomEvents(seed);
    Settings settings =
        DispatcherHarness.settings(DISPATCHERS, hedging, healthChecks, reporting, polls);
    for (int number = 0; number < DISPATCHERS; number++) {
      RuleCheckingDispatcher dispatcher = new RuleCheckingDispatcher(run, number, settings);
      dispatchers.add(dispatcher);
      dispatcher.update(DispatcherHarness.endpoints(WORKERS));
    }

    for (long end = run.nowMicros + RUN_SECONDS * SECOND;
        run.nowMicros < end;
        run.nowMicros += RandomEvents.TICK) {
      step();
    }

    assertTrue(
        run.attemptCount > arrivals / 6,
        run.attemptCount + " attempts for " + arrivals + " arrivals");
    restartedAt.forEach(this::assertNotOverloaded);
  }

  private void step() {
    Random random = run.random;
    for (RuleCheckingDispatcher dispatcher : dispatchers) {
      dispatcher.step();
      if (random.nextInt(40) == 0) {
        dispatcher.arrive();
        arrivals++;
      }
    }
    if (random.nextInt(1500) == 0) {
      changeEndpoint();
    }
    if (random.nextInt(8000) == 0) {
      restartDispatcher(random.nextInt(dispatchers.size()));
    }
  }

  /** Has a random worker restart, drain, or be removed, or adds one. */
  private void changeEndpoint() {
    int number = run.random.nextInt(16);
    State state =
        run.random.nextInt(3) == 0
            ? List.of(State.READY, State.DRAINING, State.REMOVED).get(run.random.nextInt(3))
            : State.READY;
    boolean restarts = state == State.READY;
    Endpoint endpoint = DispatcherHarness.endpoint(number, state, restarts ? run.nowMicros : 0);
    if (restarts) {
      restartedAt.put(endpoint.id(), run.nowMicros);
      run.resetAttempts(endpoint.id());
    }
    dispatchers.forEach(dispatcher -> dispatcher.update(List.of(endpoint)));
  }

  /** Replaces a dispatcher by one that knows nothing but the endpoint list. */
  private void restartDispatcher(int number) {
    RuleCheckingDispatcher previous = dispatchers.get(number);
    Set<String> ids = new HashSet<>(previous.endpoints.keySet());
    List<Endpoint> endpoints = new ArrayList<>(previous.endpoints.values());
    RuleCheckingDispatcher next = new RuleCheckingDispatcher(run, number, previous.settings);
    dispatchers.set(number, next);
    next.update(endpoints);
    assertEquals(ids, next.endpoints.keySet());
  }

  /**
   * Rule 4: in its first overload window a cold worker gets less than the overload multiple of its
   * equal part of all attempts, and a margin for chance.
   */
  private void assertNotOverloaded(String worker, long startedAt) {
    long window = DispatcherHarness.RULES.overloadWindow();
    double equalPart = (double) run.attemptCount / RUN_SECONDS / WORKERS * window / SECOND;
    double limit = DispatcherHarness.RULES.overloadMultiple() * equalPart * 0.35 + 3;
    long attempts = run.attemptsBefore(worker, startedAt + window);
    assertTrue(
        attempts <= limit, "rule 4: " + attempts + " attempts at " + worker + ", at most " + limit);
  }
}
