package loomreel.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import loomreel.decision.Settings;

/**
 * The configuration of a dispatcher process, however it was given.
 *
 * @param name the dispatcher's name
 * @param listenAddress where clients and callbacks are accepted
 * @param listenerInherited whether the listener is handed over as descriptor 0; otherwise {@code
 *     listenAddress} is bound
 * @param adminAddress the operators' address, or null where there is none
 * @param stateDirectory where a process leaves what the next one has to know, or null
 * @param discoveryAddress where the endpoint list comes from, or null where it never changes
 * @param seed of the random numbers
 * @param descriptorLimit how many file descriptors the process may hold
 * @param memoryBytes how many bytes it may use
 * @param initialEndpoints the endpoint list as it was last known
 * @param settings what the decision module goes by
 * @param connectTimeoutMicros how long a connection to a worker may take to be established
 * @param idleTimeoutMicros how long a worker keeps an idle connection
 * @param answerSlackMicros how long after a client's deadline an answer still counts
 * @param shutdownLimitMicros how long the process may live on after the request to shut down
 */
public record ServeConfig(
    String name,
    InetSocketAddress listenAddress,
    boolean listenerInherited,
    InetSocketAddress adminAddress,
    Path stateDirectory,
    InetSocketAddress discoveryAddress,
    long seed,
    int descriptorLimit,
    long memoryBytes,
    EndpointList initialEndpoints,
    Settings settings,
    long connectTimeoutMicros,
    long idleTimeoutMicros,
    long answerSlackMicros,
    long shutdownLimitMicros) {
  /**
   * What differs from another configuration and cannot change while the process runs. The seed, the
   * initial endpoints and discovery's address may differ.
   *
   * @return the names of the fields, as the file has them
   */
  public List<String> changesRequiringRestart(ServeConfig other) {
    List<String> changes = new ArrayList<>();
    if (!name.equals(other.name)) {
      changes.add(SettingsKeys.DISPATCHER_NAME);
    }
    if (!listenAddress.equals(other.listenAddress)) {
      changes.add(SettingsKeys.LISTEN_ADDRESS);
    }
    if (!Objects.equals(adminAddress, other.adminAddress)) {
      changes.add(SettingsKeys.ADMIN_ADDRESS);
    }
    if (descriptorLimit != other.descriptorLimit) {
      changes.add(SettingsKeys.RESOURCES + "." + SettingsKeys.MAX_DESCRIPTORS);
    }
    if (memoryBytes != other.memoryBytes) {
      changes.add(SettingsKeys.RESOURCES + "." + SettingsKeys.MEMORY_MEBIBYTES);
    }
    if (!settings.equals(other.settings)
        || connectTimeoutMicros != other.connectTimeoutMicros
        || idleTimeoutMicros != other.idleTimeoutMicros
        || answerSlackMicros != other.answerSlackMicros) {
      changes.add(SettingsKeys.SETTINGS);
    }
    return changes;
  }
}
