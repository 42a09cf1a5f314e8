package loomreel.chaos;

/**
 * A job of a chaos run.
 *
 * @param serial its serial number, unique over the run
 */
record ChaosJob(ChaosJobClass jobClass, String serial) {}
