package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.failureDomain;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
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
import loomreel.decision.Settings.RequestClass;

/**
 * A policy that gets random but possible responses to its actions. It checks each action against
 * the four rules of the platform with records of its own.
 */
final class RuleCheckingDispatcher {
  private static final class AttemptRecord {
    final String worker;
    final long sentAt;

    /** Null until the attempt has ended. */
    AttemptOutcome outcome;

    AttemptRecord(String worker, long sentAt) {
      this.worker = worker;
      this.sentAt = sentAt;
    }

    boolean hasEnded() {
      return outcome != null;
    }

    boolean mayHaveRun() {
      return !hasEnded() || !outcome.neverRan();
    }
  }

  private static final class RequestRecord {
    final RequestArrived arrival;
    final List<AttemptRecord> attempts = new ArrayList<>();
    boolean answered;

    RequestRecord(RequestArrived arrival) {
      this.arrival = arrival;
    }

    void recordAnswer() {
      assertTrue(!answered, "rule 1: a second answer");
      answered = true;
    }
  }

  private record ScheduledEvent(long time, long order, Event event) {}

  final Settings settings;
  final Map<String, Endpoint> endpoints = new HashMap<>();

  private final RandomEvents run;
  private final Random random;
  private final int number;
  private final DispatchPolicy policy = new DispatchPolicy();
  private final Map<String, RequestRecord> requests = new HashMap<>();
  private final PriorityQueue<ScheduledEvent> scheduled =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledEvent::time).thenComparingLong(ScheduledEvent::order));

  /** Numbers scheduled events and requests. */
  private long order;

  RuleCheckingDispatcher(RandomEvents run, int number, Settings settings) {
    this.run = run;
    this.random = run.random;
    this.number = number;
    this.settings = settings;
    deliver(new Start(number + 1, settings));
  }

  private void schedule(long time, Event event) {
    scheduled.add(
        new ScheduledEvent(Math.max(time, run.nowMicros + RandomEvents.TICK), order++, event));
  }

  private void deliver(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.on(event, run.nowMicros, actions);
    actions.forEach(this::execute);
  }

  /** Delivers the end of an attempt that is open; else does nothing. */
  private void deliverEnd(AttemptEnded event) {
    RequestRecord request = requests.get(event.requestId());
    if (request == null) {
      return;
    }
    AttemptRecord attempt = request.attempts.get(event.attemptNumber());
    if (attempt.hasEnded()) {
      return;
    }
    attempt.outcome = event.outcome();
    request.answered |= event.outcome() == AttemptOutcome.OK;
    deliver(
        new AttemptEnded(
            event.requestId(),
            event.attemptNumber(),
            event.workerId(),
            event.outcome(),
            request.answered,
            event.duration(),
            event.load()));
  }

  private void execute(Action action) {
    if (action instanceof StartAttempt start) {
      startAttempt(start);
    } else if (action instanceof Fail fail) {
      requests.get(fail.requestId()).recordAnswer();
    } else if (action instanceof Reject reject) {
      reject(reject);
    } else if (action instanceof CancelAttempt cancel) {
      cancelAttempt(cancel);
    } else if (action instanceof CheckHealth check) {
      checkHealth(check);
    } else if (action instanceof SetTimer timer) {
      schedule(timer.time(), new TimerFired(timer.token()));
    } else if (action instanceof PollEndpoints) {
      schedule(run.nowMicros + SECOND, new WatchFailed());
    }
  }

  private void startAttempt(StartAttempt start) {
    RequestRecord request = requests.get(start.requestId());
    assertTrue(!request.answered, "rule 1: sent after the answer");
    assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
    Endpoint worker = endpoints.get(start.workerId());
    assertTrue(
        worker != null && worker.state() == State.READY, "rule 3: sent to a draining worker");
    request.attempts.forEach(previous -> checkRepetition(request, previous, start));
    request.attempts.add(new AttemptRecord(start.workerId(), run.nowMicros));
    run.recordAttempt(start.workerId());
    scheduleOutcome(request, request.attempts.size() - 1);
  }

  /** Rule 2: whether an attempt may be started after or beside a previous one. */
  private void checkRepetition(RequestRecord request, AttemptRecord previous, StartAttempt start) {
    RequestClass requestClass = settings.classes().get(request.arrival.classIndex());
    assertTrue(previous.hasEnded() || settings.limits().hedging(), "rule 2: two at once");
    assertTrue(
        requestClass.idempotency() != Idempotency.NON_IDEMPOTENT || !previous.mayHaveRun(),
        "rule 2: not idempotent");
    if (requestClass.idempotency() == Idempotency.KEYED && previous.mayHaveRun()) {
      assertEquals(
          failureDomain(previous.worker),
          failureDomain(start.workerId()),
          "rule 2: outside the deduplication scope");
      assertTrue(
          run.nowMicros < previous.sentAt + requestClass.deduplicationWindow(),
          "rule 2: after the deduplication window");
    }
  }

  private void reject(Reject reject) {
    RequestRecord request = requests.get(reject.requestId());
    Idempotency idempotency = settings.classes().get(request.arrival.classIndex()).idempotency();
    boolean neverRan = request.attempts.stream().noneMatch(AttemptRecord::mayHaveRun);
    assertTrue(
        idempotency == Idempotency.IDEMPOTENT || neverRan, "rule 2: rejected what may have run");
    request.recordAnswer();
  }

  private void cancelAttempt(CancelAttempt cancel) {
    RequestRecord request = requests.get(cancel.requestId());
    assertTrue(
        cancel.attemptNumber() < request.attempts.size(), "cancels an attempt that was not sent");
    if (random.nextInt(4) > 0) {
      scheduleEnd(
          request,
          cancel.attemptNumber(),
          AttemptOutcome.CANCELLED,
          run.nowMicros + RandomEvents.TICK);
    }
  }

  private void checkHealth(CheckHealth check) {
    assertTrue(
        settings.limits().healthChecks() && endpoints.containsKey(check.workerId()),
        "health check not allowed");
    long time = run.nowMicros + random.nextInt(400_000);
    AttemptOutcome outcome = random.nextInt(8) == 0 ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK;
    schedule(time, new HealthChecked(check.workerId(), outcome, 1000, run.loadReport()));
  }

  private void scheduleOutcome(RequestRecord request, int attempt) {
    long deadline = request.arrival.deadline();
    long remaining = Math.max(1, deadline - run.nowMicros);
    double fraction = Math.min(1, random.nextDouble() * random.nextDouble() * 1.3);
    long endsAt = run.nowMicros + (long) (remaining * fraction);
    AttemptOutcome[] all = AttemptOutcome.values();
    AttemptOutcome drawn =
        random.nextInt(3) > 0 ? AttemptOutcome.OK : all[random.nextInt(all.length)];
    AttemptOutcome outcome = endsAt >= deadline ? AttemptOutcome.TIMEOUT : drawn;
    scheduleEnd(request, attempt, outcome, endsAt);
    if (random.nextBoolean()) {
      schedule(
          run.nowMicros + (endsAt - run.nowMicros) / 3,
          new AttemptProgressed(request.arrival.requestId(), attempt));
    }
  }

  private void scheduleEnd(RequestRecord request, int number, AttemptOutcome outcome, long endsAt) {
    AttemptRecord attempt = request.attempts.get(number);
    schedule(
        endsAt,
        new AttemptEnded(
            request.arrival.requestId(),
            number,
            attempt.worker,
            outcome,
            false,
            endsAt - attempt.sentAt,
            random.nextInt(3) == 0 ? null : run.loadReport()));
  }

  /** Has a random request arrive, which its client may cancel later. */
  void arrive() {
    String id = number + "-" + order++;
    long patience = random.nextInt(10) == 0 ? 1 + random.nextInt(6000) : random.nextInt(9_000_000);
    RequestArrived arrival =
        new RequestArrived(
            id,
            random.nextInt(5) == 0 ? null : "key" + random.nextInt(30),
            1 << random.nextInt(3),
            random.nextInt(settings.classes().size()),
            -1,
            run.nowMicros + patience,
            random.nextBoolean(),
            Double.NaN);
    requests.put(id, new RequestRecord(arrival));
    deliver(arrival);
    if (random.nextInt(20) == 0) {
      schedule(run.nowMicros + random.nextInt(3_000_000), new RequestCancelled(id));
    }
  }

  void update(List<Endpoint> changes) {
    changes.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
    deliver(new EndpointUpdate(changes));
  }

  /** Delivers the events that are due, and checks that no answer is overdue. */
  void step() {
    while (!scheduled.isEmpty() && scheduled.peek().time() <= run.nowMicros) {
      Event event = scheduled.poll().event();
      if (event instanceof AttemptEnded end) {
        deliverEnd(end);
      } else {
        if (event instanceof RequestCancelled cancelled) {
          markAnswered(cancelled.requestId());
        }
        deliver(event);
      }
    }
    for (RequestRecord request : requests.values()) {
      assertTrue(
          request.answered || run.nowMicros <= request.arrival.deadline(),
          "rule 1: no answer in time");
    }
    requests.values().removeIf(this::isObsolete);
  }

  private void markAnswered(String requestId) {
    if (requests.containsKey(requestId)) {
      requests.get(requestId).answered = true;
    }
  }

  private boolean isObsolete(RequestRecord request) {
    return request.answered
        && run.nowMicros > request.arrival.deadline() + 2 * SECOND
        && request.attempts.stream().allMatch(AttemptRecord::hasEnded);
  }
}
