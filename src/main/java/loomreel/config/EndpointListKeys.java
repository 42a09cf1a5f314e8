package loomreel.config;

/**
 * The field names and values in the JSON format of discovery's endpoint list. Each constant has the
 * name that this program uses for the field or value.
 */
final class EndpointListKeys {
  // Fields of the list.
  static final String VERSION = "seq";
  static final String COMPLETE = "whole";
  static final String ENDPOINTS = "hosts";

  // Fields of an entry, which describes one worker.
  static final String ID = "host";
  static final String ADDRESS = "dial";
  static final String ZONE = "site";
  static final String WORKER_KIND = "class";
  static final String FAILURE_DOMAIN = "block";
  static final String STARTED_AT_MILLIS = "born_ms";
  static final String WEIGHT = "share";

  // The field of an entry that contains the state of the worker, and the values of this field.
  static final String STATE = "health";
  static final String READY = "SERVING";
  static final String DRAINING = "DRAINING";
  static final String REMOVED = "DELETED";

  private EndpointListKeys() {}
}
