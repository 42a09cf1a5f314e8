package loomreel.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import loomreel.decision.Endpoint;

/**
 * A list of workers, as discovery returns it, or the changes to a previous list.
 *
 * @param version the version of the list, or {@link #UNVERSIONED}
 * @param complete true if the list contains all workers; known workers that are missing from the
 *     list are then removed. False if the list contains only the workers that have changed
 * @param endpoints the listed workers
 * @param addresses the addresses on which the workers listen, by worker id; a worker in the state
 *     {@link Endpoint.State#REMOVED} may have no address
 */
public record EndpointList(
    long version,
    boolean complete,
    List<Endpoint> endpoints,
    Map<String, InetSocketAddress> addresses) {
  /** The version of a list that does not come from discovery. */
  public static final long UNVERSIONED = -1;

  /** The failure domain of a worker if its entry contains none. */
  private static final int NO_FAILURE_DOMAIN = -1;

  private static final long MICROS_PER_MILLI = 1000;

  /**
   * Returns the endpoint list that is valid after {@code later} has been received. If {@code later}
   * is complete, the result is {@code later}. Otherwise, the result is a copy of this list with the
   * changes in {@code later} applied.
   */
  public EndpointList updatedBy(EndpointList later) {
    if (later.complete) {
      return later;
    }
    Map<String, Endpoint> merged = new LinkedHashMap<>();
    endpoints.forEach(endpoint -> merged.put(endpoint.id(), endpoint));
    later.endpoints.forEach(endpoint -> merged.put(endpoint.id(), endpoint));
    Map<String, InetSocketAddress> mergedAddresses = new HashMap<>(addresses);
    mergedAddresses.putAll(later.addresses);
    return new EndpointList(later.version, complete, List.copyOf(merged.values()), mergedAddresses);
  }

  /**
   * Parses an endpoint list in discovery's JSON format. If an entry contains no positive weight,
   * the worker's weight is 1.
   *
   * @param json the list as a tree that {@link JsonTree} has returned
   * @throws IllegalArgumentException if a required field is missing or a value is invalid; the
   *     message contains the name of the field or the invalid value
   */
  public static EndpointList of(Object json) {
    if (!(json instanceof Map<?, ?> list)
        || !(list.get(EndpointListKeys.VERSION) instanceof Number version)
        || !(list.get(EndpointListKeys.COMPLETE) instanceof Boolean complete)
        || !(list.get(EndpointListKeys.ENDPOINTS) instanceof List<?> entries)) {
      throw new IllegalArgumentException(
          "a list without "
              + EndpointListKeys.VERSION
              + ", "
              + EndpointListKeys.COMPLETE
              + " or "
              + EndpointListKeys.ENDPOINTS);
    }
    List<Endpoint> endpoints = new ArrayList<>(entries.size());
    Map<String, InetSocketAddress> addresses = new HashMap<>();
    for (Object item : entries) {
      if (!(item instanceof Map<?, ?> entry)
          || !(entry.get(EndpointListKeys.ID) instanceof String id)
          || !(entry.get(EndpointListKeys.STATE) instanceof String state)) {
        throw new IllegalArgumentException(
            "an entry without " + EndpointListKeys.ID + " or " + EndpointListKeys.STATE);
      }
      Endpoint endpoint = endpoint(id, state(state), entry);
      endpoints.add(endpoint);
      if (entry.get(EndpointListKeys.ADDRESS) instanceof String address && !address.isEmpty()) {
        addresses.put(id, AddressParser.parse(address));
      } else if (endpoint.state() != Endpoint.State.REMOVED) {
        throw new IllegalArgumentException("no " + EndpointListKeys.ADDRESS + " for " + id);
      }
    }
    return new EndpointList(version.longValue(), complete, endpoints, addresses);
  }

  private static Endpoint.State state(String name) {
    return switch (name) {
      case EndpointListKeys.READY -> Endpoint.State.READY;
      case EndpointListKeys.DRAINING -> Endpoint.State.DRAINING;
      case EndpointListKeys.REMOVED -> Endpoint.State.REMOVED;
      default ->
          throw new IllegalArgumentException("unknown " + EndpointListKeys.STATE + " " + name);
    };
  }

  private static Endpoint endpoint(String id, Endpoint.State state, Map<?, ?> entry) {
    double weight = JsonValues.number(entry.get(EndpointListKeys.WEIGHT), 1);
    return new Endpoint(
        id,
        JsonValues.text(entry, EndpointListKeys.ZONE),
        JsonValues.text(entry, EndpointListKeys.WORKER_KIND),
        entry.get(EndpointListKeys.FAILURE_DOMAIN) instanceof Number number
            ? number.intValue()
            : NO_FAILURE_DOMAIN,
        state,
        entry.get(EndpointListKeys.STARTED_AT_MILLIS) instanceof Number millis
            ? millis.longValue() * MICROS_PER_MILLI
            : 0,
        weight > 0 ? weight : 1);
  }
}
