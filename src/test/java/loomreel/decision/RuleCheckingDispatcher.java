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
 * A dispatcher that delivers random but possible events to its {@link DispatchPolicy} in response
 * to the actions of the policy. The dispatcher keeps its own records of requests and attempts, and
 * asserts that each action follows the rules of the platform:
 *
 * <p>Rule 1: each request gets one answer, not later than its deadline. No attempt starts after the
 * answer.
 *
 * <p>Rule 2: work that may have run is repeated only if its class permits a repetition. Keyed work,
 * which workers deduplicate by its idempotency key, is repeated only within the deduplication scope
 * and the deduplication window. A request whose work may have run is rejected only if the work is
 * idempotent. An attempt starts while another attempt of the same request is open only if the
 * settings permit hedging.
 *
 * <p>Rule 3: attempts start only at workers that are ready.
 *
 * <p>Rule 4 limits the attempts of all dispatchers together at cold workers. {@link
 * RandomEventsTest} checks this rule.
 */
final class RuleCheckingDispatcher {
  /** An attempt that the policy has started. */
  private static final class AttemptRecord {
    final String worker;
    final long sentAtMicros;

    /** The outcome of the attempt, or null until it ends. */
    AttemptOutcome outcome;

    AttemptRecord(String worker, long sentAtMicros) {
      this.worker = worker;
      this.sentAtMicros = sentAtMicros;
    }

    boolean hasEnded() {
      return outcome != null;
    }

    /**
     * Returns whether the job of the attempt may have run. The result is false only if the attempt
     * has ended with an outcome that proves that the job never ran.
     */
    boolean mayHaveRun() {
      return !hasEnded() || !outcome.neverRan();
    }
  }

  /** A request that has arrived, with its attempts in the order of their numbers. */
  private static final class RequestRecord {
    final RequestArrived arrival;
    final List<AttemptRecord> attempts = new ArrayList<>();

    /** Whether the request has its answer, or needs none because its client cancelled it. */
    boolean answered;

    RequestRecord(RequestArrived arrival) {
      this.arrival = arrival;
    }

    /** Records an answer of the policy and asserts that it is the first one. */
    void recordAnswer() {
      assertTrue(!answered, "rule 1: a request gets a second answer");
      answered = true;
    }
  }

  /**
   * An event and the time at which it is due. Events with the same time are delivered in the order
   * of their sequence numbers.
   */
  private record ScheduledEvent(long timeMicros, long sequenceNumber, Event event) {}

  final Settings settings;

  /** The last delivered endpoint of each worker, by worker id. */
  final Map<String, Endpoint> endpoints = new HashMap<>();

  private final RandomEvents randomEvents;
  private final Random random;

  /** The number of this dispatcher in the run, from 0 on. */
  private final int dispatcherNumber;

  private final DispatchPolicy policy = new DispatchPolicy();
  private final Map<String, RequestRecord> requests = new HashMap<>();
  private final PriorityQueue<ScheduledEvent> scheduledEvents =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledEvent::timeMicros)
              .thenComparingLong(ScheduledEvent::sequenceNumber));

  /** The sequence number of the next event that is scheduled or the next request that arrives. */
  private long sequenceNumber;

  /** Creates a dispatcher and starts its policy. */
  RuleCheckingDispatcher(RandomEvents randomEvents, int dispatcherNumber, Settings settings) {
    this.randomEvents = randomEvents;
    this.random = randomEvents.random;
    this.dispatcherNumber = dispatcherNumber;
    this.settings = settings;
    deliver(new Start(dispatcherNumber + 1, settings));
  }

  /** Schedules an event for a time, or for the next tick if the time is earlier than that. */
  private void schedule(long timeMicros, Event event) {
    scheduledEvents.add(
        new ScheduledEvent(
            Math.max(timeMicros, randomEvents.nowMicros + RandomEvents.TICK_MICROS),
            sequenceNumber++,
            event));
  }

  private void deliver(Event event) {
    List<Action> actions = new ArrayList<>();
    policy.on(event, randomEvents.nowMicros, actions);
    actions.forEach(this::execute);
  }

  /**
   * Delivers the end of an attempt. The delivered event states whether the request is answered now,
   * which was not known when the event was scheduled. Does nothing if the attempt has ended
   * already, or if the record of its request was discarded.
   */
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
      schedule(randomEvents.nowMicros + SECOND, new WatchFailed());
    }
  }

  private void startAttempt(StartAttempt start) {
    RequestRecord request = requests.get(start.requestId());
    assertTrue(!request.answered, "rule 1: an attempt starts after the answer");
    assertTrue(request.attempts.size() < settings.limits().maxAttempts(), "too many attempts");
    Endpoint worker = endpoints.get(start.workerId());
    assertTrue(
        worker != null && worker.state() == State.READY,
        "rule 3: an attempt starts at a worker that is not ready");
    request.attempts.forEach(
        previousAttempt -> assertRepetitionAllowed(request, previousAttempt, start));
    request.attempts.add(new AttemptRecord(start.workerId(), randomEvents.nowMicros));
    randomEvents.recordAttempt(start.workerId());
    scheduleOutcome(request, request.attempts.size() - 1);
  }

  /**
   * Asserts that an attempt that starts follows rule 2 with regard to one previous attempt of the
   * same request. The previous attempt has ended or is still open.
   */
  private void assertRepetitionAllowed(
      RequestRecord request, AttemptRecord previousAttempt, StartAttempt start) {
    RequestClass requestClass = settings.classes().get(request.arrival.classIndex());
    assertTrue(
        previousAttempt.hasEnded() || settings.limits().hedging(),
        "rule 2: an attempt starts while another one is open");
    assertTrue(
        requestClass.idempotency() != Idempotency.NON_IDEMPOTENT || !previousAttempt.mayHaveRun(),
        "rule 2: non-idempotent work is repeated");
    if (requestClass.idempotency() == Idempotency.KEYED && previousAttempt.mayHaveRun()) {
      assertEquals(
          failureDomain(previousAttempt.worker),
          failureDomain(start.workerId()),
          "rule 2: keyed work is repeated outside the deduplication scope");
      assertTrue(
          randomEvents.nowMicros
              < previousAttempt.sentAtMicros + requestClass.deduplicationWindow(),
          "rule 2: keyed work is repeated after the deduplication window");
    }
  }

  private void reject(Reject reject) {
    RequestRecord request = requests.get(reject.requestId());
    Idempotency idempotency = settings.classes().get(request.arrival.classIndex()).idempotency();
    boolean neverRan = request.attempts.stream().noneMatch(AttemptRecord::mayHaveRun);
    assertTrue(
        idempotency == Idempotency.IDEMPOTENT || neverRan,
        "rule 2: work that may have run is rejected");
    request.recordAnswer();
  }

  /**
   * Schedules the end of a cancelled attempt in three of four cases. Otherwise, the cancellation
   * has no effect.
   */
  private void cancelAttempt(CancelAttempt cancel) {
    RequestRecord request = requests.get(cancel.requestId());
    assertTrue(
        cancel.attemptNumber() < request.attempts.size(),
        "an attempt that was not started is cancelled");
    if (random.nextInt(4) > 0) {
      scheduleEnd(
          request,
          cancel.attemptNumber(),
          AttemptOutcome.CANCELLED,
          randomEvents.nowMicros + RandomEvents.TICK_MICROS);
    }
  }

  private void checkHealth(CheckHealth check) {
    assertTrue(
        settings.limits().healthChecks() && endpoints.containsKey(check.workerId()),
        "a health check is not allowed");
    long timeMicros = randomEvents.nowMicros + random.nextInt(400_000);
    AttemptOutcome outcome = random.nextInt(8) == 0 ? AttemptOutcome.TIMEOUT : AttemptOutcome.OK;
    schedule(
        timeMicros,
        new HealthChecked(check.workerId(), outcome, 1000, randomEvents.drawLoadReport()));
  }

  /**
   * Schedules the end of an attempt, at a random time and with a random outcome. In half of the
   * cases, also schedules progress of the attempt before the end. An attempt that is still open at
   * the deadline of the request ends with a timeout.
   */
  private void scheduleOutcome(RequestRecord request, int attemptNumber) {
    long deadlineMicros = request.arrival.deadline();
    long remainingMicros = Math.max(1, deadlineMicros - randomEvents.nowMicros);
    double fraction = Math.min(1, random.nextDouble() * random.nextDouble() * 1.3);
    long endsAtMicros = randomEvents.nowMicros + (long) (remainingMicros * fraction);
    AttemptOutcome[] allOutcomes = AttemptOutcome.values();
    AttemptOutcome randomOutcome =
        random.nextInt(3) > 0 ? AttemptOutcome.OK : allOutcomes[random.nextInt(allOutcomes.length)];
    AttemptOutcome outcome =
        endsAtMicros >= deadlineMicros ? AttemptOutcome.TIMEOUT : randomOutcome;
    scheduleEnd(request, attemptNumber, outcome, endsAtMicros);
    if (random.nextBoolean()) {
      schedule(
          randomEvents.nowMicros + (endsAtMicros - randomEvents.nowMicros) / 3,
          new AttemptProgressed(request.arrival.requestId(), attemptNumber));
    }
  }

  private void scheduleEnd(
      RequestRecord request, int attemptNumber, AttemptOutcome outcome, long endsAtMicros) {
    AttemptRecord attempt = request.attempts.get(attemptNumber);
    schedule(
        endsAtMicros,
        new AttemptEnded(
            request.arrival.requestId(),
            attemptNumber,
            attempt.worker,
            outcome,
            false,
            endsAtMicros - attempt.sentAtMicros,
            random.nextInt(3) == 0 ? null : randomEvents.drawLoadReport()));
  }

  /**
   * Delivers the arrival of a random request. In one of 20 cases, also schedules that the client
   * cancels the request.
   */
  void arrive() {
    String id = dispatcherNumber + "-" + sequenceNumber++;
    long clientTimeoutMicros =
        random.nextInt(10) == 0 ? 1 + random.nextInt(6000) : random.nextInt(9_000_000);
    RequestArrived arrival =
        new RequestArrived(
            id,
            random.nextInt(5) == 0 ? null : "key" + random.nextInt(30),
            1 << random.nextInt(3),
            random.nextInt(settings.classes().size()),
            -1,
            randomEvents.nowMicros + clientTimeoutMicros,
            random.nextBoolean(),
            Double.NaN);
    requests.put(id, new RequestRecord(arrival));
    deliver(arrival);
    if (random.nextInt(20) == 0) {
      schedule(randomEvents.nowMicros + random.nextInt(3_000_000), new RequestCancelled(id));
    }
  }

  /** Records changed endpoints and delivers them to the policy as an endpoint update. */
  void update(List<Endpoint> changes) {
    changes.forEach(endpoint -> endpoints.put(endpoint.id(), endpoint));
    deliver(new EndpointUpdate(changes));
  }

  /**
   * Delivers the events that are due, and asserts that no answer is overdue. Then discards the
   * record of each request that is answered, has no open attempt, and has a deadline that passed
   * more than 2 s ago.
   */
  void step() {
    while (!scheduledEvents.isEmpty()
        && scheduledEvents.peek().timeMicros() <= randomEvents.nowMicros) {
      Event event = scheduledEvents.poll().event();
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
          request.answered || randomEvents.nowMicros <= request.arrival.deadline(),
          "rule 1: a request has no answer at its deadline");
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
        && randomEvents.nowMicros > request.arrival.deadline() + 2 * SECOND
        && request.attempts.stream().allMatch(AttemptRecord::hasEnded);
  }
}
