package loomreel.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Consumer;
import loomreel.decision.Action.CheckHealth;
import loomreel.decision.Action.Fail;
import loomreel.decision.Action.PollEndpoints;
import loomreel.decision.Action.Reject;
import loomreel.decision.Action.SetTimer;
import loomreel.decision.Action.StartAttempt;
import loomreel.decision.Event.AttemptEnded;
import loomreel.decision.Event.EndpointSnapshot;
import loomreel.decision.Event.HealthChecked;
import loomreel.decision.Event.RequestArrived;
import loomreel.decision.Event.Start;
import loomreel.decision.Event.TimerFired;
import loomreel.decision.Settings.Rules;

/**
 * Many nodes over many copy workers on one virtual clock, so that what the nodes do together can be
 * counted. A copy worker runs as many jobs as it has slots, each at its speed and warmth; the
 * others wait. Seeds and steps are set, so every run is the same.
 */
final class FleetSimulation {
  static final long SECOND = 1_000_000;
  private static final long ROUND_TRIP = 20_000;
  private static final long CONNECT_WITHIN = 250_000;

  /** A copy worker as it is, which no node sees. */
  static final class Machine {
    final Endpoint entry;
    final long[] slotFreeAt;
    final double speed;
    boolean refuses;

    /** Nothing comes up there any more. */
    boolean dead;

    int held;

    /** Work sent, by when. */
    final TreeMap<Long, Double> work = new TreeMap<>();

    final List<Long> probes = new ArrayList<>();

    Machine(Endpoint entry, int slots, double speed) {
      this.entry = entry;
      this.speed = speed;
      slotFreeAt = new long[slots];
    }

    double warmth(long now, Rules rules) {
      double age = now - entry.startedAt();
      return entry.startedAt() == 0 || age > rules.slowStartDuration()
          ? 1
          : rules.initialCapacityFraction()
              + (1 - rules.initialCapacityFraction()) * age / rules.slowStartDuration();
    }

    double sent(long from, long to) {
      return work.subMap(from, to).values().stream().mapToDouble(x -> x).sum();
    }

    /** The work that it could do between two times. */
    double capacity(long from, long to, Rules rules) {
      return slotFreeAt.length
          * speed
          * (to - from)
          * (warmth(from, rules) + warmth(to, rules))
          / 2;
    }
  }

  private record Due(long at, long order, Runnable task) {}

  final Settings settings;
  final Map<String, Machine> machines = new TreeMap<>();
  final List<Long> listCalls = new ArrayList<>();
  long now = 100 * SECOND;
  int served;
  int refused;
  int failed;
  private final List<DispatchPolicy> nodes = new ArrayList<>();
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) -> a.at != b.at ? Long.compare(a.at, b.at) : Long.compare(a.order, b.order));
  private final SplittableRandom random;
  private final Set<String> open = new HashSet<>();
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Map<String, Double> sizes = new HashMap<>();
  private long order;

  FleetSimulation(Settings settings, long seed) {
    this.settings = settings;
    random = new SplittableRandom(seed);
  }

  /** So many nodes start now with a list. */
  void start(int count, List<Endpoint> known) {
    for (int i = 0; i < count; i++) {
      DispatchPolicy policy = new DispatchPolicy();
      nodes.add(policy);
      tell(policy, new Start(random.nextLong(), settings));
      tell(policy, new EndpointSnapshot(known));
    }
  }

  void every(Consumer<DispatchPolicy> what) {
    nodes.forEach(what);
  }

  void at(long time, Runnable task) {
    due.add(new Due(time, order++, task));
  }

  /**
   * Jobs come to every node from now on, until a time; keys are drawn unevenly from {@code keys}.
   */
  void load(double perNodeSecond, int keys, double meanWork, long until) {
    for (int node = 0; node < nodes.size(); node++) {
      load(node, perNodeSecond, keys, meanWork, until);
    }
  }

  /** The same at one node; jobs are of the first tenant where there is one. */
  void load(int node, double perSecond, int keys, double meanWork, long until) {
    arrivals(nodes.get(node), perSecond, keys, meanWork, until);
  }

  private void arrivals(DispatchPolicy node, double rate, int keys, double meanWork, long until) {
    long next = now + (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND);
    if (next < until) {
      at(
          next,
          () -> {
            String id = Long.toHexString(random.nextLong());
            double size = -Math.log(1 - random.nextDouble()) * meanWork;
            open.add(id);
            sizes.put(id, size);
            String key = "k" + (int) (keys * Math.pow(random.nextDouble(), 2));
            tell(
                node,
                new RequestArrived(
                    id,
                    key,
                    1,
                    random.nextInt(2) * DispatcherHarness.ISSUE,
                    settings.tenants().size() - 1,
                    now + 5 * SECOND,
                    false,
                    size));
            arrivals(node, rate, keys, meanWork, until);
          });
    }
  }

  /** Jobs that were taken and have no answer yet. */
  int open() {
    return open.size();
  }

  /** Lets time pass. */
  void run(long until) {
    while (!due.isEmpty() && due.peek().at <= until) {
      Due next = due.poll();
      now = Math.max(now, next.at);
      next.task.run();
    }
    now = until;
  }

  void tell(DispatchPolicy node, Event event) {
    List<Action> actions = new ArrayList<>();
    node.on(event, now, actions);
    actions.forEach(a -> perform(node, a));
  }

  private void perform(DispatchPolicy node, Action action) {
    if (action instanceof SetTimer timer) {
      at(
          Math.max(timer.time(), now + settings.tick()),
          () -> tell(node, new TimerFired(timer.token())));
    } else if (action instanceof StartAttempt send) {
      send(node, send);
    } else if (action instanceof CheckHealth probe) {
      Machine m = machines.get(probe.workerId());
      m.probes.add(now);
      at(
          now + (m.dead ? CONNECT_WITHIN : ROUND_TRIP),
          () ->
              tell(
                  node,
                  new HealthChecked(
                      probe.workerId(),
                      m.dead
                          ? AttemptOutcome.CONNECT_FAILED
                          : m.refuses ? AttemptOutcome.ERROR : AttemptOutcome.OK,
                      ROUND_TRIP,
                      m.dead || m.refuses ? null : report(m))));
    } else if (action instanceof PollEndpoints) {
      listCalls.add(now);
    } else if (action instanceof Reject refuse) {
      refused += open.remove(refuse.requestId()) ? 1 : 0;
    } else if (action instanceof Fail fail) {
      failed += open.remove(fail.requestId()) ? 1 : 0;
    }
  }

  private static WorkerLoad report(Machine m) {
    int slots = m.slotFreeAt.length;
    return DispatcherHarness.report(
        Math.max(0, m.held - slots), m.held, Math.max(0, slots - m.held));
  }

  private void send(DispatchPolicy node, StartAttempt send) {
    Machine m = machines.get(send.workerId());
    int number = attempts.merge(send.requestId(), 1, Integer::sum) - 1;
    double size = sizes.get(send.requestId());
    m.work.merge(now, size, Double::sum);
    if (m.refuses || m.dead) {
      ended(
          node,
          send,
          number,
          m.dead ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.REJECTED,
          now + (m.dead ? CONNECT_WITHIN : 1000));
      return;
    }
    int slot = 0;
    for (int i = 1; i < m.slotFreeAt.length; i++) {
      slot = m.slotFreeAt[i] < m.slotFreeAt[slot] ? i : slot;
    }
    long from = Math.max(now, m.slotFreeAt[slot]);
    m.slotFreeAt[slot] = from + (long) (size / m.speed / m.warmth(from, settings.rules()));
    m.held++;
    at(m.slotFreeAt[slot], () -> m.held--);
    ended(node, send, number, AttemptOutcome.OK, m.slotFreeAt[slot]);
  }

  private void ended(
      DispatchPolicy node, StartAttempt send, int number, AttemptOutcome outcome, long when) {
    long sentAt = now;
    at(
        when,
        () -> {
          boolean first = outcome == AttemptOutcome.OK && open.remove(send.requestId());
          served += first ? 1 : 0;
          tell(
              node,
              new AttemptEnded(
                  send.requestId(),
                  number,
                  send.workerId(),
                  outcome,
                  !open.contains(send.requestId()),
                  now - sentAt,
                  null));
        });
  }
}
