package loomreel.process;

import java.io.IOException;
import java.util.Map;

/** Operations that operators can request. All methods are called on the event loop's thread. */
public interface AdminOperations {
  /** Returns whether this process reports itself as ready to serve clients. */
  boolean isReady();

  /** Returns the metrics by name. A value is a number or a nested map from names to numbers. */
  Map<String, Object> metrics();

  /**
   * Disables a worker, so that it receives no more jobs, or enables it again.
   *
   * @param id the worker's id
   * @return false if no worker with this id is listed or disabled
   * @throws IOException if the change cannot be stored for the next process; it is not applied then
   */
  boolean setWorkerDisabled(String id, boolean disabled) throws IOException;

  /**
   * Starts or stops a client drain, which directs clients to other dispatchers.
   *
   * @throws IOException if the change cannot be stored for the next process; it is not applied then
   */
  void setClientDrain(boolean draining) throws IOException;
}
