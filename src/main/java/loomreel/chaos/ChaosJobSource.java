package loomreel.chaos;

import java.util.SplittableRandom;

/** Draws the jobs of one client from its random numbers. For one thread. */
final class ChaosJobSource {
  private static final int ROUTING_KEYS = 50;

  private final SplittableRandom random;
  private final String protocol;
  private final int client;

  /**
   * A source that has drawn nothing yet.
   *
   * @param random shared with the client, which draws the other values of its requests
   * @param protocol as in serial numbers
   * @param client the client's number among those of its protocol
   */
  ChaosJobSource(SplittableRandom random, String protocol, int client) {
    this.random = random;
    this.protocol = protocol;
    this.client = client;
  }

  /** Draws the class of the client's job with a number. */
  ChaosJob next(int job) {
    ChaosJobClass jobClass = ChaosJobClass.of(random.nextBoolean());
    return new ChaosJob(jobClass, jobClass.serial(protocol, client, job));
  }

  /** Draws a routing key, which several jobs have. */
  String nextRoutingKey() {
    return "k" + random.nextInt(ROUTING_KEYS);
  }
}
