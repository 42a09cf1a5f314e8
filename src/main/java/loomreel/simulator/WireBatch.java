package loomreel.simulator;

import java.util.List;

/**
 * One batch of the simulator's protocol. A batch contains events of simulated dispatchers. All
 * events of a batch happen at the same simulated time.
 *
 * @param number the number of the batch, which the reply repeats
 * @param timeMicros the simulated time, in microseconds
 * @param dispatchers the elements of the array {@code parts}, each with the events of one
 *     dispatcher
 */
record WireBatch(long number, long timeMicros, List<DispatcherEvents> dispatchers) {
  /**
   * The events of one dispatcher.
   *
   * @param dispatcherNumber the number that identifies the dispatcher in the protocol
   * @param events the events in the order in which they occurred; the fields of the events are not
   *     checked yet
   */
  record DispatcherEvents(int dispatcherNumber, List<WireObject> events) {}
}
