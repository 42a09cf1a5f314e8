package loomreel.program.harness;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** An endpoint list in the JSON of discovery. Methods change it in place and return it. */
public final class EndpointList {
  /** The health of a worker, with its name in the list. */
  public enum Health {
    SERVING,
    DRAINING,
    DELETED
  }

  /** Whether workers that are not in a list stay as they were. */
  public enum Extent {
    /** The list has all workers; others are removed. */
    COMPLETE,
    /** The list has the workers that have changed. */
    CHANGES
  }

  private final ObjectNode json = new ObjectMapper().createObjectNode();
  private final ArrayNode workers;

  /** An empty list. */
  public EndpointList(int sequence, Extent extent) {
    json.put("seq", sequence).put("whole", extent == Extent.COMPLETE);
    workers = json.putArray("hosts");
  }

  /** Adds a worker, after those that are in the list. */
  public EndpointList with(String worker, String address, Health health) {
    workers
        .addObject()
        .put("host", worker)
        .put("dial", address)
        .put("site", "n")
        .put("class", "k")
        .put("block", 0)
        .put("health", health.name())
        .put("share", 1.0)
        .put("born_ms", 0);
    return this;
  }

  /** Adds the workers of another list, after those that are in this one. */
  public EndpointList withAllOf(EndpointList other) {
    workers.addAll(other.workers);
    return this;
  }

  /** Sends the list as the response of discovery. */
  public void respondTo(HttpMessage request) throws IOException {
    request.respond(200, toJson());
  }

  /** The JSON as a tree. */
  ObjectNode toTree() {
    return json;
  }

  /** The JSON as compact text. */
  public String toJson() {
    return json.toString();
  }
}
