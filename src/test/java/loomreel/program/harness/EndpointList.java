package loomreel.program.harness;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * An endpoint list in the JSON format of discovery. {@link #with} and {@link #withAllOf} change the
 * list in place and return the same list.
 */
public final class EndpointList {
  /** The health of a worker. The name of the constant is the value in the JSON. */
  public enum Health {
    SERVING,
    DRAINING,
    DELETED
  }

  /** Whether the dispatcher removes or keeps the workers that are not in a list. */
  public enum Extent {
    /** The list contains all workers. The dispatcher removes workers that are not in the list. */
    COMPLETE,
    /** The list contains only changed workers. The dispatcher keeps workers that are not in it. */
    CHANGES
  }

  private final ObjectNode json = new ObjectMapper().createObjectNode();
  private final ArrayNode workers;

  /** Creates a list without workers. */
  public EndpointList(int version, Extent extent) {
    json.put("seq", version).put("whole", extent == Extent.COMPLETE);
    workers = json.putArray("hosts");
  }

  /**
   * Appends a worker to this list.
   *
   * @param worker the name of the worker
   * @param address the address, as host:port
   */
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

  /** Appends the workers of another list to this list. */
  public EndpointList withAllOf(EndpointList other) {
    workers.addAll(other.workers);
    return this;
  }

  /** Responds to a call to discovery with status 200 and this list. */
  public void respondTo(HttpMessage request) throws IOException {
    request.respond(200, toJson());
  }

  /**
   * Returns the JSON of this list as a tree. The tree is not a copy, so that later changes to this
   * list also change the tree.
   */
  ObjectNode toTree() {
    return json;
  }

  /** Returns the JSON of this list as text without whitespace. */
  public String toJson() {
    return json.toString();
  }
}
