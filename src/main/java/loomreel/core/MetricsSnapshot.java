package loomreel.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The figures of {@code GET /ops/stats} at one moment. Counters run since the start of the process.
 *
 * @param success served calls by request class; each class of the settings is present
 * @param busy rejected calls by request class
 * @param failure failed calls by request class
 * @param backendCalls attempts whose request was completely written
 * @param inflight calls without an answer now
 * @param hostsListed workers that the endpoint lists name now
 * @param hostsDown listed workers that are ejected or disabled now
 * @param reconfigOk configuration reloads that were taken over
 * @param reconfigFailed configuration reloads that were rejected
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

  /** The figures by their JSON field names, in the order of the reply. */
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
