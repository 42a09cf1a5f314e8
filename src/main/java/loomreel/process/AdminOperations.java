package loomreel.process;

import java.io.IOException;
import java.util.Map;

/**
 * The operations that operators can request. All methods must be called on the event loop's thread.
 */
public interface AdminOperations {
  /**
   * Returns whether this process is ready to serve clients. A client drain does not change the
   * result.
   */
  boolean isReady();

  /** Returns the metrics by name. A value is a number or a nested map from names to numbers. */
  Map<String, Object> metrics();

  /**
   * Disables a worker, so that it receives no more jobs, or enables it again.
   *
   * @param id the worker's id
   * @param disabled true to disable the worker, false to enable it
   * @return whether the worker is known, that is, listed or already disabled; an unknown worker is
   *     neither disabled nor enabled
   * @throws IOException if the change cannot be stored for the next process; in that case, the
   *     change is not applied
   */
  boolean setWorkerDisabled(String id, boolean disabled) throws IOException;

  /**
   * Starts or stops a client drain, which directs clients to other dispatchers.
   *
   * @param draining true to start the drain, false to stop it
   * @throws IOException if the change cannot be stored for the next process; in that case, the
   *     change is not applied
   */
  void setClientDrain(boolean draining) throws IOException;
}
