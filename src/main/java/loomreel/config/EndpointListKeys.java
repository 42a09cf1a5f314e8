package loomreel.config;

/** The names in discovery's endpoint list, by what they mean in this program. */
final class EndpointListKeys {
  // The list.
  static final String VERSION = "seq";
  static final String COMPLETE = "whole";
  static final String ENDPOINTS = "hosts";

  // An entry.
  static final String ID = "host";
  static final String ADDRESS = "dial";
  static final String ZONE = "site";
  static final String WORKER_KIND = "class";
  static final String FAILURE_DOMAIN = "block";
  static final String STARTED_AT_MILLIS = "born_ms";
  static final String WEIGHT = "share";

  // The state of an entry.
  static final String STATE = "health";
  static final String READY = "SERVING";
  static final String DRAINING = "DRAINING";
  static final String REMOVED = "DELETED";

  private EndpointListKeys() {}
}
