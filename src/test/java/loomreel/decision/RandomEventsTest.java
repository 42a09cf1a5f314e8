package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import loomreel.decision.Action.CancelAttempt;
import loomreel.decision.Action.CheckHealth;
import loomreel.decision.Action.Fail;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.Reject;
import loomreel.decision.Action.SetTimer;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.AttemptProgressed;
import loomreel.decision.Event.EndpointUpdate;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.RequestCancelled;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Event.WatchFailed;
import loomreel.decision.Settings.LoadReporting;
import loomreel.decision.Settings.RequestClass;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Several nodes live through legal sequences of events, drawn from a fixed seed, and each action is
 * held against the four rules with books of the test's own. It checks what is allowed; it models no
 * servers.
 */
class RandomEventsTest {
  private static final long TICK = 2000;

  private static final class Try {
    final String worker;
    final long sentAt;
    AttemptOutcome outcome;

    Try(String worker, long sentAt) {
      this.worker = worker;
      this.sentAt = sentAt;
    }

    boolean mayHaveRun() {
      return outcome == null || !outcome.neverRan();
    }
  }

  private static final class Owed {
    final RequestArrived arrival;
    final List<Try> tries = new ArrayList<>();
    boolean answered;

    Owed(RequestArrived arrival) {
      this.arrival = arrival;
    }
  }

  private record Due(long at, long order, Event event) {}

  /** One node with the books kept on it. */
  private final class Node {
    final int number;
    final Settings settings;
    final DispatchPolicy policy = new DispatchPolicy();
    final Map<String, Owed> owed = new HashMap<>();
    final Map<String, Endpoint> told = new HashMap<>();
    final PriorityQueue<Due> due =
        new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    long order;

    Node(int number, Settings settings) {
      this.number = number;
      this.settings = settings;
      play(new Start(number + 1, settings));
    }

    void later(long at, Event event) {
      due.add(new Due(Math.max(at, now + TICK), order++, event));
    }

    void play(Event event) {
      if (event instanceof AttemptEnded e) {
        Owed request = owed.get(e.requestId());
        if (request == null) {
          return;
        }
        Try attempt = request.tries.get(e.attemptNumber());
        if (attempt.outcome != null) {
          return;
        }
        attempt.outcome = e.outcome();
        boolean ends = e.outcome() == AttemptOutcome.OK && !request.answered;
        request.answered |= ends;
        event =
            new AttemptEnded(
                e.requestId(),
                e.attemptNumber(),
                e.workerId(),
                e.outcome(),
                request.answered,
                e.duration(),
                e.load());
      }
      List<Action> actions = new ArrayList<>();
      policy.on(event, now, actions);
      for (Action action : actions) {
        check(action);
      }
    }

    // Not split yet; listed in docs/ROADMAP.md.
    @SuppressWarnings("checkstyle:MethodLength")
    void check(Action action) {
      if (action instanceof StartAttempt send) {
        Owed request = owed.get(send.requestId());
        assertTrue(!request.answered, "rule 1: sent after the answer");
        assertTrue(request.tries.size() < settings.limits().maxAttempts(), "too many attempts");
        Endpoint worker = told.get(send.workerId());
        assertTrue(
            worker != null && worker.state() == State.READY, "rule 3: sent to one that leaves");
        RequestClass type = settings.classes().get(request.arrival.classIndex());
        for (Try t : request.tries) {
          assertTrue(t.outcome != null || settings.limits().hedging(), "rule 2: two at once");
          assertTrue(
              type.idempotency() != Idempotency.NON_IDEMPOTENT || !t.mayHaveRun(),
              "rule 2: single shot");
          if (type.idempotency() == Idempotency.KEYED && t.mayHaveRun()) {
            assertEquals(cell(t.worker), cell(send.workerId()), "rule 2: outside the group");
            assertTrue(now < t.sentAt + type.deduplicationWindow(), "rule 2: after the window");
          }
        }
        request.tries.add(new Try(send.workerId(), now));
        sentTo.computeIfAbsent(send.workerId(), w -> new ArrayList<>()).add(now);
        sends++;
        outcomeFor(request, request.tries.size() - 1);
      } else if (action instanceof Fail fail) {
        Owed request = owed.get(fail.requestId());
        assertTrue(!request.answered, "rule 1: a second answer");
        request.answered = true;
      } else if (action instanceof Reject refuse) {
        Owed request = owed.get(refuse.requestId());
        assertTrue(!request.answered, "rule 1: a second answer");
        Idempotency repeat = settings.classes().get(request.arrival.classIndex()).idempotency();
        assertTrue(
            repeat == Idempotency.IDEMPOTENT || request.tries.stream().noneMatch(Try::mayHaveRun),
            "rule 2");
        request.answered = true;
      } else if (action instanceof CancelAttempt cancel) {
        assertTrue(
            cancel.attemptNumber() < owed.get(cancel.requestId()).tries.size(),
            "cancels what was not sent");
        if (random.nextInt(4) > 0) {
          ended(
              owed.get(cancel.requestId()),
              cancel.attemptNumber(),
              AttemptOutcome.CANCELLED,
              now + TICK);
        }
      } else if (action instanceof CheckHealth probe) {
        assertTrue(
            settings.limits().healthChecks() && told.containsKey(probe.workerId()),
            "probe not allowed");
        later(
            now + random.nextInt(400_000),
            new HealthChecked(
                probe.workerId(),
                random.nextInt(8) == 0 ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK,
                1000,
                report()));
      } else if (action instanceof SetTimer timer) {
        later(timer.time(), new TimerFired(timer.token()));
      } else if (action instanceof PollEndpoints) {
        later(now + SECOND, new WatchFailed());
      }
    }

    void outcomeFor(Owed request, int attempt) {
      long left = Math.max(1, request.arrival.deadline() - now);
      long at = now + (long) (left * Math.min(1, random.nextDouble() * random.nextDouble() * 1.3));
      AttemptOutcome[] all = AttemptOutcome.values();
      AttemptOutcome outcome =
          random.nextInt(3) > 0 ? AttemptOutcome.OK : all[random.nextInt(all.length)];
      ended(
          request,
          attempt,
          at >= request.arrival.deadline() ? AttemptOutcome.TIMEOUT : outcome,
          at);
      if (random.nextBoolean()) {
        later(now + (at - now) / 3, new AttemptProgressed(request.arrival.requestId(), attempt));
      }
    }

    void ended(Owed request, int attempt, AttemptOutcome outcome, long at) {
      later(
          at,
          new AttemptEnded(
              request.arrival.requestId(),
              attempt,
              request.tries.get(attempt).worker,
              outcome,
              false,
              at - request.tries.get(attempt).sentAt,
              random.nextInt(3) == 0 ? null : report()));
    }

    void arrive() {
      String id = number + "-" + order++;
      long patience =
          random.nextInt(10) == 0 ? 1 + random.nextInt(6000) : random.nextInt(9_000_000);
      RequestArrived arrival =
          new RequestArrived(
              id,
              random.nextInt(5) == 0 ? null : "key" + random.nextInt(30),
              1 << random.nextInt(3),
              random.nextInt(settings.classes().size()),
              -1,
              now + patience,
              random.nextBoolean(),
              Double.NaN);
      owed.put(id, new Owed(arrival));
      play(arrival);
      if (random.nextInt(20) == 0) {
        later(now + random.nextInt(3_000_000), new RequestCancelled(id));
      }
    }

    void tell(List<Endpoint> entries) {
      entries.forEach(e -> told.put(e.id(), e));
      play(new EndpointUpdate(entries));
    }

    void step() {
      while (!due.isEmpty() && due.peek().at() <= now) {
        Event event = due.poll().event();
        if (event instanceof RequestCancelled withdrawn
            && owed.containsKey(withdrawn.requestId())) {
          owed.get(withdrawn.requestId()).answered = true;
        }
        play(event);
      }
      for (Owed request : owed.values()) {
        assertTrue(
            request.answered || now <= request.arrival.deadline(), "rule 1: no answer in time");
      }
      owed.values()
          .removeIf(
              r ->
                  r.answered
                      && now > r.arrival.deadline() + 2 * SECOND
                      && r.tries.stream().allMatch(t -> t.outcome != null));
    }
  }

  private Random random;
  private long now;
  private long sends;
  private final Map<String, List<Long>> sentTo = new HashMap<>();

  private static int cell(String worker) {
    return Integer.parseInt(worker.substring(1)) / 2;
  }

  private WorkerLoad report() {
    return random.nextInt(5) == 0
        ? new WorkerLoad(Double.NaN, Double.NaN, 0.5, random.nextInt(5))
        : new WorkerLoad(random.nextInt(3), random.nextInt(6), Double.NaN, random.nextInt(4));
  }

  @ParameterizedTest
  @CsvSource({
    "1,true,true,WITH_ANSWERS,false",
    "2,false,false,WITH_ANSWERS,false",
    "3,true,true,WITH_HEALTH_CHECKS,true",
    "4,true,false,NONE,false",
    "5,false,true,WITH_ANSWERS,true",
    "6,true,true,WITH_ANSWERS,false"
  })
  void everyActionIsLegal(
      int seed, boolean copies, boolean probing, LoadReporting reporting, boolean ask) {
    random = new Random(seed);
    now = 50 * SECOND;
    List<Node> nodes = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      nodes.add(new Node(i, DispatcherHarness.settings(4, copies, probing, reporting, ask)));
      nodes.get(i).tell(DispatcherHarness.workers(12));
    }
    Map<String, Long> coldSince = new HashMap<>();
    long arrivals = 0;
    for (long end = now + 60 * SECOND; now < end; now += TICK) {
      for (Node node : nodes) {
        node.step();
        if (random.nextInt(40) == 0) {
          node.arrive();
          arrivals++;
        }
      }
      if (random.nextInt(1500) == 0) {
        int worker = random.nextInt(16);
        State state =
            random.nextInt(3) == 0
                ? List.of(State.READY, State.DRAINING, State.REMOVED).get(random.nextInt(3))
                : State.READY;
        boolean restarts = state == State.READY;
        Endpoint entry = DispatcherHarness.worker(worker, state, restarts ? now : 0);
        if (restarts) {
          coldSince.put(entry.id(), now);
          sentTo.put(entry.id(), new ArrayList<>());
        }
        nodes.forEach(n -> n.tell(List.of(entry)));
      }
      if (random.nextInt(8000) == 0) {
        int i = random.nextInt(nodes.size());
        Set<String> names = new HashSet<>(nodes.get(i).told.keySet());
        List<Endpoint> list = new ArrayList<>(nodes.get(i).told.values());
        nodes.set(i, new Node(i, nodes.get(i).settings));
        nodes.get(i).tell(list);
        assertEquals(names, nodes.get(i).told.keySet());
      }
    }
    assertTrue(sends > arrivals / 6, sends + " sends for " + arrivals + " arrivals");
    checkCold(coldSince);
  }

  /**
   * A fresh worker's first window holds less than the tipping multiple of an even part, chance
   * included.
   */
  private void checkCold(Map<String, Long> coldSince) {
    double even = (double) sends / 60 / 12 * DispatcherHarness.RULES.overloadWindow() / SECOND;
    double most = DispatcherHarness.RULES.overloadMultiple() * even * 0.35 + 3;
    coldSince.forEach(
        (worker, since) -> {
          long first =
              sentTo.get(worker).stream()
                  .filter(t -> t < since + DispatcherHarness.RULES.overloadWindow())
                  .count();
          assertTrue(
              first <= most, "rule 4: " + first + " sends to " + worker + ", at most " + most);
        });
  }
}
