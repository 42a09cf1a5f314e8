package loomreel.decision;

import java.util.ArrayList;
import java.util.List;
import loomreel.decision.Action.SetTimer;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Settings.Limits;
import loomreel.decision.Settings.LoadReporting;
import loomreel.decision.Settings.RequestClass;
import loomreel.decision.Settings.Rules;

/** One node under test with a clock, and settings of the tests' own making. */
final class DispatcherHarness {
  static final long SECOND = 1_000_000;
  static final Rules RULES = new Rules(SECOND / 2, 10 * SECOND, 0.2, 20 * SECOND, 3, 2 * SECOND);
  static final List<RequestClass> CLASSES =
      List.of(
          new RequestClass(
              "read",
              null,
              0,
              2,
              SECOND,
              10 * SECOND,
              1,
              0,
              Idempotency.IDEMPOTENT,
              DeduplicationScope.ALL,
              0),
          new RequestClass(
              "pay",
              null,
              0,
              2,
              SECOND,
              10 * SECOND,
              5,
              0,
              Idempotency.KEYED,
              DeduplicationScope.FAILURE_DOMAIN,
              3 * SECOND),
          new RequestClass(
              "issue",
              null,
              0,
              2,
              SECOND,
              10 * SECOND,
              3,
              0.5,
              Idempotency.NON_IDEMPOTENT,
              DeduplicationScope.ALL,
              0),
          new RequestClass(
              "big-only",
              "big",
              0,
              2,
              SECOND,
              10 * SECOND,
              3,
              0,
              Idempotency.IDEMPOTENT,
              DeduplicationScope.ALL,
              0));
  static final int READ = 0;
  static final int PAY = 1;
  static final int ISSUE = 2;
  static final int BIG_ONLY = 3;

  final DispatchPolicy policy = new DispatchPolicy();
  final Settings settings;
  long now = 100 * SECOND;

  DispatcherHarness(Settings settings, long seed) {
    this.settings = settings;
    on(new Start(seed, settings));
  }

  DispatcherHarness() {
    this(settings(1, true, false, LoadReporting.WITH_ANSWERS, false), 7);
  }

  static Settings settings(
      int nodes, boolean secondCopies, boolean probing, LoadReporting reporting, boolean ask) {
    return Settings.builder()
        .rules(RULES)
        .limits(new Limits(4, secondCopies, true, probing, true, SECOND))
        .dispatchers(nodes)
        .zone("north")
        .classes(CLASSES)
        .pollsEndpoints(ask)
        .loadReporting(reporting)
        .reportsJobStart(true)
        .tick(2000)
        .build();
  }

  /**
   * Workers w00, w01, ...: zone by the parity, cell by the number over 2, every third of kind big.
   */
  static List<Endpoint> workers(int count) {
    List<Endpoint> list = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      list.add(worker(i, State.READY, 0));
    }
    return list;
  }

  static Endpoint worker(int i, State state, long startedAt) {
    return new Endpoint(
        String.format("w%02d", i),
        i / 2 % 2 == 0 ? "north" : "south",
        i % 3 == 0 ? "big" : "small",
        i / 2,
        state,
        startedAt,
        1);
  }

  List<Action> on(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.on(event, now, actions);
    return actions;
  }

  List<Action> arrive(String id, String key, int requestClass) {
    return on(
        new RequestArrived(id, key, 1, requestClass, -1, now + 10 * SECOND, false, Double.NaN));
  }

  List<Action> ended(String id, int attempt, String worker, AttemptOutcome outcome) {
    return on(
        new AttemptEnded(
            id, attempt, worker, outcome, outcome == AttemptOutcome.OK, SECOND / 10, null));
  }

  static WorkerLoad report(double waiting, double held, double free) {
    return new WorkerLoad(waiting, held, Double.NaN, free);
  }

  static List<StartAttempt> sends(List<Action> actions) {
    return of(StartAttempt.class, actions);
  }

  static <T extends Action> List<T> of(Class<T> type, List<Action> actions) {
    return actions.stream().filter(type::isInstance).map(type::cast).toList();
  }

  /** Lets the given timers of an answer fall due, in order, up to a time. */
  List<Action> runTimers(List<Action> from, long until) {
    List<Action> all = new ArrayList<>();
    List<SetTimer> timers = new ArrayList<>(of(SetTimer.class, from));
    while (true) {
      SetTimer next = timers.stream().min((a, b) -> Long.compare(a.time(), b.time())).orElse(null);
      if (next == null || next.time() > until) {
        now = Math.max(now, until);
        return all;
      }
      timers.remove(next);
      now = Math.max(now + settings.tick(), next.time());
      List<Action> actions = on(new TimerFired(next.token()));
      all.addAll(actions);
      timers.addAll(of(SetTimer.class, actions));
    }
  }
}
