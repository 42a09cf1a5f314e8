package loomreel.simulator;

import java.util.List;

/**
 * One batch of the protocol: what happens to the simulated dispatchers at one moment.
 *
 * @param number the batch's number, repeated in the reply
 * @param timeMicros the simulated time in microseconds
 * @param dispatchers the events by dispatcher, in the order of the wire
 */
record WireBatch(long number, long timeMicros, List<DispatcherEvents> dispatchers) {
  /**
   * The events of one dispatcher.
   *
   * @param instance the dispatcher's number
   * @param events its events in order, not yet checked
   */
  record DispatcherEvents(int instance, List<WireObject> events) {}
}
