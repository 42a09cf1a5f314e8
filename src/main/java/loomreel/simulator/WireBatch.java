package loomreel.simulator;

import java.util.List;

/**
 * One batch of the protocol: the events of the simulated dispatchers at one point in simulated
 * time.
 *
 * @param number the number of the batch, which the reply repeats
 * @param timeMicros the simulated time, in microseconds
 * @param dispatchers the events of each dispatcher, in the order in which they were received
 */
record WireBatch(long number, long timeMicros, List<DispatcherEvents> dispatchers) {
  /**
   * The events of one dispatcher.
   *
   * @param dispatcherNumber the number of the dispatcher
   * @param events the events in the order in which they occurred; their fields are not checked yet
   */
  record DispatcherEvents(int dispatcherNumber, List<WireObject> events) {}
}
