package loomreel.chaos;

/** The two classes of jobs of a chaos run. */
enum ChaosJobClass {
  /** Idempotent jobs, which may be executed again. */
  RENDER("render", "pages", "again"),
  /** Jobs that must never be executed twice. */
  RECORD("record", "entries", "once");

  private final String className;
  private final String queue;
  private final String serialPrefix;

  ChaosJobClass(String className, String queue, String serialPrefix) {
    this.className = className;
    this.queue = queue;
    this.serialPrefix = serialPrefix;
  }

  static ChaosJobClass of(boolean isIdempotent) {
    return isIdempotent ? RENDER : RECORD;
  }

  static ChaosJobClass ofSerial(String serial) {
    return serial.startsWith(RENDER.serialPrefix) ? RENDER : RECORD;
  }

  /** The class in the daemon's settings, and the HTTP path of its jobs. */
  String className() {
    return className;
  }

  /** The class's Faktory queue. */
  String queue() {
    return queue;
  }

  /** What the serial numbers of the class's jobs begin with. */
  String serialPrefix() {
    return serialPrefix;
  }

  /** The serial number of a job, unique over the run. */
  String serial(String protocol, int client, int job) {
    return serialPrefix + "-" + protocol + "-" + client + "-" + job;
  }
}
