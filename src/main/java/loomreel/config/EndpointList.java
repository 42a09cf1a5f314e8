package loomreel.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import loomreel.decision.Endpoint;

/**
 * The workers that discovery lists, or the changes to such a list.
 *
 * @param sequence the version of the list, or {@link #UNVERSIONED}
 * @param complete whether a worker that is missing from it is gone; otherwise it holds changes
 * @param endpoints the workers
 * @param addresses where the workers listen, by id; those that are gone may have none
 */
public record EndpointList(
    long sequence,
    boolean complete,
    List<Endpoint> endpoints,
    Map<String, InetSocketAddress> addresses) {
  /** The sequence of a list that does not come from discovery. */
  public static final long UNVERSIONED = -1;

  /** The block of a worker for which discovery names none. */
  private static final int NO_BLOCK = -1;

  private static final long MICROS_PER_MILLI = 1000;

  /**
   * Reads a list in discovery's form.
   *
   * @param json the list as {@link JsonTree} reads it
   * @throws IllegalArgumentException naming what does not fit
   */
  public static EndpointList of(Object json) {
    if (!(json instanceof Map<?, ?> list)
        || !(list.get("seq") instanceof Number sequence)
        || !(list.get("whole") instanceof Boolean complete)
        || !(list.get("hosts") instanceof List<?> hosts)) {
      throw new IllegalArgumentException("a list without seq, whole or hosts");
    }
    List<Endpoint> endpoints = new ArrayList<>(hosts.size());
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (Object item : hosts) {
      if (!(item instanceof Map<?, ?> host)
          || !(host.get("host") instanceof String id)
          || !(host.get("health") instanceof String health)) {
        throw new IllegalArgumentException("an entry without host or health");
      }
      Endpoint endpoint = endpoint(id, state(health), host);
      endpoints.add(endpoint);
      if (host.get("dial") instanceof String address && !address.isEmpty()) {
        addresses.put(id, AddressParser.parse(address));
      } else if (endpoint.state() != Endpoint.State.REMOVED) {
        throw new IllegalArgumentException("no dial for " + id);
      }
    }
    return new EndpointList(sequence.longValue(), complete, endpoints, addresses);
  }

  private static Endpoint.State state(String health) {
    return switch (health) {
      case "SERVING" -> Endpoint.State.READY;
      case "DRAINING" -> Endpoint.State.DRAINING;
      case "DELETED" -> Endpoint.State.REMOVED;
      default -> throw new IllegalArgumentException("unknown health " + health);
    };
  }

  private static Endpoint endpoint(String id, Endpoint.State state, Map<?, ?> host) {
    double weight = JsonValues.number(host.get("share"), 1);
    return new Endpoint(
        id,
        JsonValues.text(host, "site"),
        JsonValues.text(host, "class"),
        host.get("block") instanceof Number block ? block.intValue() : NO_BLOCK,
        state,
        host.get("born_ms") instanceof Number born ? born.longValue() * MICROS_PER_MILLI : 0,
        weight > 0 ? weight : 1);
  }
}
