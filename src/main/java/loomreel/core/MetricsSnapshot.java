package loomreel.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The values that {@code GET /ops/stats} returns, at one point in time. Counters count from the
 * start of the process.
 *
 * @param success the number of calls served, by request class; has an entry for each class of the
 *     settings
 * @param busy the number of calls rejected, by request class; has an entry for each class of the
 *     settings
 * @param failure the number of calls failed, by request class; has an entry for each class of the
 *     settings
 * @param backendCalls the number of attempts whose request was completely written
 * @param inflight the current number of calls that are neither answered nor cancelled
 * @param hostsListed the current number of workers in the endpoint lists
 * @param hostsDown the current number of listed workers that are ejected or disabled
 * @param reconfigOk the number of configuration reloads that were applied
 * @param reconfigFailed the number of configuration reloads that were rejected
 */
public record MetricsSnapshot(
    Map<String, Integer> success,
    Map<String, Integer> busy,
    Map<String, Integer> failure,
    int backendCalls,
    int inflight,
    int hostsListed,
    int hostsDown,
    int reconfigOk,
    int reconfigFailed) {

  /** Returns the values by JSON field name, in the order in which the response has them. */
  public Map<String, Object> toJsonFields() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("success", success);
    fields.put("busy", busy);
    fields.put("failure", failure);
    fields.put("backend_calls", backendCalls);
    fields.put("inflight", inflight);
    fields.put("hosts_listed", hostsListed);
    fields.put("hosts_down", hostsDown);
    fields.put("reconfig_ok", reconfigOk);
    fields.put("reconfig_failed", reconfigFailed);
    return fields;
  }
}
