package loomreel.config;

/**
 * The field names and values in discovery's endpoint list. Each constant is named after its meaning
 * in this program.
 */
final class EndpointListKeys {
  // Fields of the list.
  static final String VERSION = "seq";
  static final String COMPLETE = "whole";
  static final String ENDPOINTS = "hosts";

  // Fields of an entry.
  static final String ID = "host";
  static final String ADDRESS = "dial";
  static final String ZONE = "site";
  static final String WORKER_KIND = "class";
  static final String FAILURE_DOMAIN = "block";
  static final String STARTED_AT_MILLIS = "born_ms";
  static final String WEIGHT = "share";

  // The field for the state of an entry, and its values.
  static final String STATE = "health";
  static final String READY = "SERVING";
  static final String DRAINING = "DRAINING";
  static final String REMOVED = "DELETED";

  private EndpointListKeys() {}
}
