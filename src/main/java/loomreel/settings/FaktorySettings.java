package loomreel.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import loomreel.settings.cue.Key;

/**
 * Faktory's section of a settings file; {@code installation.cue} documents each key. A field that
 * is absent from the file is null.
 *
 * @param listenAddress where Faktory clients and workers connect
 * @param password the password that they prove to know, or null if none is needed
 * @param passwordHashIterations how often the password is hashed
 * @param workers the rules for workers that fetch over Faktory
 * @param queues the accepted queues by name; {@code *} stands for every other one
 * @param jobTypes the job types whose class is not their queue's, by name
 * @param maxCapacityFraction the fraction of the dispatcher's capacity that Faktory's jobs may use
 * @param backlog the limits of the backlog
 * @param maxConnections how many connections may be open
 * @param maxCommandSize the longest command
 * @param defaultRetries how often a job is retried that does not say so itself; -1 and 0 as in
 *     Faktory
 * @param initialBackoff the wait before the first retry
 * @param endedJobRetention how long the id of an ended job is rejected as a duplicate
 * @param maxRetainedJobs how many ended jobs are retained
 * @param allowsMutation whether clients may FLUSH and MUTATE
 * @param spoolDirectory where waiting jobs are stored, or {@link #NO_SPOOL}
 * @param maxSpoolSize no job is accepted while the spool is larger
 * @param durability what the waiting jobs of a class survive, by the name of the class
 */
public record FaktorySettings(
    @Key("listen") InetSocketAddress listenAddress,
    @Key("password") String password,
    @Key("iterations") int passwordHashIterations,
    @Key("workers") Workers workers,
    @Key("queues") Map<String, Queue> queues,
    @Key("job_types") Map<String, JobType> jobTypes,
    @Key("share") double maxCapacityFraction,
    @Key("backlog") Backlog backlog,
    @Key("connections") int maxConnections,
    @Key("command") Size maxCommandSize,
    @Key("retry") int defaultRetries,
    @Key("backoff") Micros initialBackoff,
    @Key("remember") Micros endedJobRetention,
    @Key("remember_most") int maxRetainedJobs,
    @Key("may_mutate") boolean allowsMutation,
    @Key("spool") String spoolDirectory,
    @Key("spool_most") Size maxSpoolSize,
    @Key("durability") Map<String, Durability> durability) {
  /** The value of {@code spoolDirectory} that turns durable storage off. */
  public static final String NO_SPOOL = "none";

  /** What a stored job survives. */
  public enum Durability {
    /** A crash of the process. */
    @Key("written")
    WRITTEN,
    /** A power failure as well. */
    @Key("synced")
    SYNCED
  }

  /** The state that connected workers are requested to enter at a graceful shutdown. */
  public enum ShutdownRequest {
    /** Workers stay in their state. */
    @Key("stay")
    NONE,
    /** Workers finish their jobs and fetch no more. */
    @Key("quiet")
    QUIET,
    /** Workers end. */
    @Key("terminate")
    TERMINATE
  }

  /**
   * The rules for workers that fetch over Faktory.
   *
   * @param enabled whether workers may connect
   * @param heartbeatTimeout a worker is disconnected that has sent no heartbeat for this long
   * @param fetchTimeout how long a FETCH waits for a job
   * @param initialSlots how many jobs a worker runs at a time until that is known
   * @param slowStart whether a newly connected worker is warming up
   * @param shutdownRequest the state that workers are requested to enter at a graceful shutdown
   */
  public record Workers(
      @Key("allowed") boolean enabled,
      @Key("beat_within") Micros heartbeatTimeout,
      @Key("fetch_wait") Micros fetchTimeout,
      @Key("slots") int initialSlots,
      @Key("cold") boolean slowStart,
      @Key("on_stop") ShutdownRequest shutdownRequest) {}

  /** The class, weight and tenant of a queue's jobs; the tenant is null where there is none. */
  public record Queue(
      @Key("class") String jobClass, @Key("weight") int weight, @Key("tenant") String tenant) {}

  /** The class of a job type's jobs, whatever their queue. */
  public record JobType(@Key("class") String jobClass) {}

  /** The limits of the backlog: the number of waiting jobs, and their size in all. */
  public record Backlog(@Key("jobs") int maxJobs, @Key("bytes") Size maxSize) {}
}
