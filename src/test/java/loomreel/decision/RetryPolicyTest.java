package loomreel.decision;

import static loomreel.decision.DispatcherHarness.SECOND;
import static loomreel.decision.DispatcherHarness.sends;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import loomreel.decision.Action.CancelAttempt;
import loomreel.decision.Action.CheckHealth;
import loomreel.decision.Action.Fail;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.Reject;
import loomreel.decision.Action.SetTimer;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Endpoint.State;
import loomreel.decision.Event.AttemptProgressed;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Event.EndpointUpdate;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.RequestCancelled;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.Stop;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Event.WatchFailed;
import loomreel.decision.Event.WorkerDisabled;
import loomreel.decision.Event.WorkerEnabled;
import loomreel.decision.Settings.LoadReporting;
import loomreel.decision.Settings.Tenant;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RetryPolicyTest {
  private static DispatcherHarness fixture() {
    DispatcherHarness f = new DispatcherHarness();
    f.on(new EndpointSnapshot(DispatcherHarness.workers(20)));
    return f;
  }

  @ParameterizedTest
  @EnumSource(
      value = AttemptOutcome.class,
      names = {"OK", "TIMEOUT"},
      mode = EnumSource.Mode.EXCLUDE)
  void aFurtherAttemptIsMadeAsTheClassAndTheOutcomeAllow(AttemptOutcome outcome) {
    for (int type :
        new int[] {DispatcherHarness.READ, DispatcherHarness.PAY, DispatcherHarness.ISSUE}) {
      DispatcherHarness f = fixture();
      StartAttempt first = sends(f.arrive("a", "key", type)).get(0);
      f.now += SECOND / 10;
      f.on(new AttemptProgressed("a", 0));
      List<Action> then = f.ended("a", 0, first.workerId(), outcome);
      if (type == DispatcherHarness.READ || outcome.neverRan()) {
        assertEquals(1, sends(then).size(), type + " after " + outcome);
      } else if (type == DispatcherHarness.ISSUE) {
        assertTrue(sends(then).isEmpty(), "what may have run is not sent again");
        assertEquals(
            List.of(new Fail("a", RejectionReason.RETRIES_EXHAUSTED)),
            DispatcherHarness.of(Fail.class, then));
        assertTrue(DispatcherHarness.of(Reject.class, then).isEmpty());
      } else {
        int cell = Integer.parseInt(first.workerId().substring(1)) / 2;
        then =
            then.isEmpty() || sends(then).isEmpty() ? f.runTimers(then, f.now + SECOND / 2) : then;
        for (StartAttempt send : sends(then)) {
          assertEquals(cell, Integer.parseInt(send.workerId().substring(1)) / 2);
        }
      }
    }
  }

  @Test
  void guardedRepeatsStayInTheGroupAndInTheWindow() {
    int repeats = 0;
    for (int i = 0; i < 60; i++) {
      DispatcherHarness f = fixture();
      StartAttempt first = sends(f.arrive("a", "key" + i, DispatcherHarness.PAY)).get(0);
      long sent = f.now;
      f.now +=
          i % 2 == 0
              ? SECOND / 100
              : DispatcherHarness.CLASSES.get(DispatcherHarness.PAY).deduplicationWindow();
      List<Action> then = f.ended("a", 0, first.workerId(), AttemptOutcome.ERROR);
      List<StartAttempt> all = sends(f.runTimers(then, f.now + 6 * SECOND));
      int cell = Integer.parseInt(first.workerId().substring(1)) / 2;
      for (StartAttempt send : all) {
        assertEquals(cell, Integer.parseInt(send.workerId().substring(1)) / 2);
      }
      repeats += sends(then).size() + all.size();
      assertTrue(
          i % 2 == 0 || (sends(then).isEmpty() && all.isEmpty()), "after the window of " + sent);
    }
    assertTrue(repeats > 0, "some key has a second worker of the cell in sight");
  }

  /** Nobody could tell its repeats: in doubt it is failed, as one that must not run twice. */
  @Test
  void aGuardedRequestWithoutAKeyIsNotSentAgain() {
    for (int i = 0; i < 60; i++) {
      DispatcherHarness f = fixture();
      StartAttempt first =
          sends(
                  f.on(
                      new RequestArrived(
                          "a",
                          "key" + i,
                          1,
                          DispatcherHarness.PAY,
                          -1,
                          f.now + 10 * SECOND,
                          false,
                          Double.NaN,
                          null,
                          false)))
              .get(0);
      f.now += SECOND / 100;
      List<Action> then = f.ended("a", 0, first.workerId(), AttemptOutcome.ERROR);
      assertEquals(1, DispatcherHarness.of(Fail.class, then).size());
      assertTrue(sends(f.runTimers(then, f.now + 6 * SECOND)).isEmpty());
    }
  }

  @Test
  void everyRequestIsAnsweredOnceByItsTime() {
    DispatcherHarness f = fixture();
    List<Action> actions = f.arrive("a", "key", DispatcherHarness.ISSUE);
    long due = f.now + 10 * SECOND;
    List<Action> later = f.runTimers(actions, due + SECOND);
    assertEquals(1, DispatcherHarness.of(Fail.class, later).size());
    assertTrue(sends(later).isEmpty(), "a single-shot request in doubt is not sent again");
    assertTrue(
        f.ended("a", 0, sends(actions).get(0).workerId(), AttemptOutcome.CANCELLED).isEmpty());
  }

  /**
   * Given up, a request is answered at once; what cannot have run is refused, with a time to come
   * back.
   */
  @Test
  void aRequestGivenUpIsRefusedAtOnceWhereNothingCanHaveRun() {
    DispatcherHarness f = new DispatcherHarness();
    long late =
        f.now + DispatcherHarness.CLASSES.get(DispatcherHarness.READ).deadline() - 5 * SECOND;
    List<Action> answer =
        f.on(new RequestArrived("late", "key", 1, DispatcherHarness.READ, -1, late, true, SECOND));
    assertEquals(
        List.of(new Reject("late", SECOND, RejectionReason.ARRIVED_TOO_LATE)),
        answer,
        "it came too late to be worth anything");
    List<Action> held = f.arrive("a", "key", DispatcherHarness.READ);
    assertEquals(
        List.of(new Reject("a", SECOND, RejectionReason.NO_ELIGIBLE_WORKER)),
        DispatcherHarness.of(Reject.class, f.runTimers(held, f.now + 3 * SECOND)));
    assertTrue(f.now < 105 * SECOND, "long before the client leaves");
  }

  /** A client that asks again too late must not use up what its tenant may still have in time. */
  @Test
  void aTryThatComesTooLateTakesNoTokenOfItsTenant() {
    Settings s = DispatcherHarness.settings(1, true, false, LoadReporting.WITH_ANSWERS, false);
    DispatcherHarness f =
        new DispatcherHarness(s.toBuilder().tenants(List.of(new Tenant("t", 1))).build(), 7);
    for (int i = 0; i < 50; i++) {
      f.on(
          new RequestArrived(
              "late" + i, "key", 1, DispatcherHarness.READ, 0, f.now + SECOND, true, SECOND));
    }
    List<Action> held =
        f.on(
            new RequestArrived(
                "a", "key", 1, DispatcherHarness.READ, 0, f.now + 10 * SECOND, false, SECOND));
    assertTrue(
        DispatcherHarness.of(Reject.class, held).isEmpty(),
        "within its share it may wait for a copy worker");
  }

  @Test
  void nothingIsSentAfterTheClientLeft() {
    DispatcherHarness f = fixture();
    List<Action> actions = f.arrive("a", "key", DispatcherHarness.READ);
    List<Action> left = f.on(new RequestCancelled("a"));
    assertEquals(1, DispatcherHarness.of(CancelAttempt.class, left).size());
    List<Action> then = f.ended("a", 0, sends(actions).get(0).workerId(), AttemptOutcome.REJECTED);
    assertTrue(then.isEmpty());
    assertTrue(f.runTimers(actions, f.now + 20 * SECOND).isEmpty());
  }

  @Test
  void whatDrainsOrIsGoneGetsNothingFromTheNewsOn() {
    for (State state : new State[] {State.DRAINING, State.REMOVED}) {
      DispatcherHarness f = fixture();
      StartAttempt before = sends(f.arrive("a", "key", DispatcherHarness.READ)).get(0);
      int number = Integer.parseInt(before.workerId().substring(1));
      f.on(new EndpointUpdate(List.of(DispatcherHarness.worker(number, state, 0))));
      for (int i = 0; i < 50; i++) {
        for (StartAttempt send :
            sends(f.arrive("b" + i, i % 2 == 0 ? "key" : null, DispatcherHarness.READ))) {
          assertFalse(send.workerId().equals(before.workerId()));
        }
      }
    }
  }

  @Test
  void aWorkerMissingFromAWholeListIsGoneAndALostListChangesNothing() {
    DispatcherHarness f = fixture();
    f.on(new WatchFailed());
    assertEquals(1, sends(f.arrive("a", "key", DispatcherHarness.READ)).size());
    f.on(new EndpointSnapshot(List.of(DispatcherHarness.worker(5, State.READY, 0))));
    assertEquals("w05", sends(f.arrive("b", "key", DispatcherHarness.READ)).get(0).workerId());
  }

  @Test
  void aColdWorkerGetsItsPartOfAnAverageShareHoweverManyNodesThereAre() {
    int nodes = 30;
    int cold = 0;
    int all = 0;
    long start = 100 * SECOND;
    for (int node = 0; node < nodes; node++) {
      DispatcherHarness f =
          new DispatcherHarness(
              DispatcherHarness.settings(nodes, true, false, LoadReporting.WITH_ANSWERS, false),
              node);
      f.on(new EndpointSnapshot(DispatcherHarness.workers(20)));
      for (int i = 0; i < 400; i++) {
        if (i == 200) {
          f.on(new EndpointUpdate(List.of(DispatcherHarness.worker(7, State.READY, f.now))));
        }
        for (StartAttempt send : sends(f.arrive("r" + i, "key" + i, DispatcherHarness.READ))) {
          if (f.now < start + 22 * SECOND) {
            all++;
            cold += i >= 200 && send.workerId().equals("w07") ? 1 : 0;
          }
          f.ended("r" + i, 0, send.workerId(), AttemptOutcome.OK);
        }
        f.now += SECOND / 10;
      }
    }
    double average = 2.0 * nodes * 10 / 20;
    assertTrue(
        cold <= average * 3 * 0.28,
        cold + " sends in the first two seconds, a warm one gets " + average);
    assertTrue(all > 5000);
  }

  @Test
  void aNodeThatMustAskDoesSoInTimeAndAgainAfterALoss() {
    for (int seed = 0; seed < 50; seed++) {
      DispatcherHarness f = new DispatcherHarness();
      Settings ask = DispatcherHarness.settings(1, true, false, LoadReporting.NONE, true);
      f.on(new Stop());
      List<Action> actions = f.on(new Start(seed, ask));
      SetTimer timer = DispatcherHarness.of(SetTimer.class, actions).get(0);
      assertTrue(timer.time() - f.now < 10 * SECOND);
      f.now = timer.time();
      assertEquals(List.of(new PollEndpoints()), f.on(new TimerFired(timer.token())));
      SetTimer again = DispatcherHarness.of(SetTimer.class, f.on(new WatchFailed())).get(0);
      assertTrue(again.time() > f.now && again.time() - f.now < 10 * SECOND);
    }
  }

  @Test
  void strayEventsAreIgnored() {
    DispatcherHarness f = fixture();
    assertTrue(f.ended("never", 0, "w01", AttemptOutcome.OK).isEmpty());
    assertTrue(f.on(new AttemptProgressed("never", 3)).isEmpty());
    assertTrue(f.on(new RequestCancelled("never")).isEmpty());
    assertTrue(f.on(new TimerFired(12345)).isEmpty());
    assertTrue(f.on(new HealthChecked("w01", AttemptOutcome.OK, 10, null)).isEmpty());
    StartAttempt send = sends(f.arrive("a", "key", DispatcherHarness.READ)).get(0);
    assertTrue(f.on(new AttemptProgressed("a", 7)).isEmpty());
    f.ended("a", 0, send.workerId(), AttemptOutcome.OK);
    assertTrue(f.ended("a", 0, send.workerId(), AttemptOutcome.ERROR).isEmpty());
  }

  /**
   * A node that has just started, beside workers that have too, must send them something, but not
   * more than is safe.
   */
  @Test
  void aFleetThatIsAllColdGetsWhatItsSlotsAreGoodFor() {
    DispatcherHarness f =
        new DispatcherHarness(
            DispatcherHarness.settings(1, true, true, LoadReporting.WITH_HEALTH_CHECKS, false), 7);
    f.on(
        new EndpointSnapshot(
            List.of(
                DispatcherHarness.worker(0, State.READY, f.now),
                DispatcherHarness.worker(1, State.READY, f.now))));
    double work = 0;
    double capacity = 0;
    for (int i = 0; i < 200; i++) {
      f.now += SECOND / 100;
      for (String worker : List.of("w00", "w01")) {
        f.on(new HealthChecked(worker, AttemptOutcome.OK, 1000, DispatcherHarness.report(0, 0, 4)));
      }
      // Slots do 0.45 of the work at the least; a cold worker is good for 0.2 of that, and more by
      // the second.
      capacity += 2 * 4 * 0.45 * (0.2 + 0.8 * i / 2000) * SECOND / 100;
      String id = "r" + i;
      List<StartAttempt> sent =
          sends(
              f.on(
                  new RequestArrived(
                      id,
                      null,
                      1,
                      DispatcherHarness.READ,
                      -1,
                      f.now + 10 * SECOND,
                      false,
                      20_000)));
      work += sent.size() * 20_000;
      for (StartAttempt send : sent) {
        f.ended(id, 0, send.workerId(), AttemptOutcome.OK);
      }
    }
    assertTrue(work > capacity, "sent " + work + " of " + capacity);
    assertTrue(
        work < DispatcherHarness.RULES.overloadMultiple() * capacity,
        "sent " + work + " of " + capacity);
  }

  /**
   * What operators take out gets no first try, no retry and no probe, however often the list says
   * that it is ready.
   */
  @Test
  void aWorkerThatIsDownGetsNothingUntilItIsUpAndThenIsCold() {
    DispatcherHarness f =
        new DispatcherHarness(
            DispatcherHarness.settings(1, true, true, LoadReporting.WITH_HEALTH_CHECKS, false), 7);
    f.on(new EndpointSnapshot(DispatcherHarness.workers(2)));
    f.on(new WorkerDisabled("w00"));
    assertEquals(1, f.policy.ejectedWorkers(f.now));
    int elsewhere = 0;
    for (int i = 0; i < 50; i++) {
      f.now += SECOND / 10;
      f.on(new EndpointUpdate(List.of(DispatcherHarness.worker(0, State.READY, 0))));
      f.on(new HealthChecked("w01", AttemptOutcome.OK, 1000, DispatcherHarness.report(0, 0, 4)));
      List<Action> then = new ArrayList<>(f.arrive("r" + i, null, DispatcherHarness.READ));
      elsewhere += sends(then).size();
      then.addAll(f.ended("r" + i, 0, "w01", AttemptOutcome.REJECTED));
      assertTrue(sends(then).stream().noneMatch(s -> s.workerId().equals("w00")));
      assertTrue(
          DispatcherHarness.of(CheckHealth.class, then).stream()
              .noneMatch(p -> p.workerId().equals("w00")));
      f.now += SECOND;
      f.on(new RequestCancelled("r" + i));
    }
    assertTrue(elsewhere > 0, "the other one serves");
    f.on(new WorkerEnabled("w00"));
    f.on(new WorkerDisabled("w01"));
    assertEquals(1, f.policy.ejectedWorkers(f.now));
    int sent = 0;
    for (int i = 0; i < 20; i++) {
      f.on(new HealthChecked("w00", AttemptOutcome.OK, 1000, DispatcherHarness.report(0, 0, 4)));
      sent += sends(f.arrive("s" + i, null, DispatcherHarness.READ)).size();
    }
    assertTrue(sent >= 1 && sent < 20, sent + " at once to a worker that may have restarted");
  }
}
