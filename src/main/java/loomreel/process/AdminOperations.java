package loomreel.process;

import java.io.IOException;
import java.util.Map;

/** What operators can query and set in a dispatcher. Called on the event loop's thread. */
public interface AdminOperations {
  /** Whether this process can serve. */
  boolean isReady();

  /** Metrics by name; a value is a number, or a map of further names and numbers. */
  Map<String, Object> metrics();

  /**
   * Disables a worker, which then receives no more jobs, or enables it again.
   *
   * @return false where no worker has this id
   * @throws IOException if it could not be stored for the next process; nothing has changed then
   */
  boolean setWorkerDisabled(String id, boolean disabled) throws IOException;

  /**
   * Starts a client drain, which directs clients to other dispatchers, or stops it.
   *
   * @throws IOException if it could not be stored for the next process; nothing has changed then
   */
  void setClientDrain(boolean draining) throws IOException;
}
