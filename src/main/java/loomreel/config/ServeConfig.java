package loomreel.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import loomreel.decision.Settings;

/**
 * The configuration of a dispatcher process, independent of its source.
 *
 * @param name the dispatcher's name
 * @param listenAddress the address on which clients and callbacks are accepted
 * @param listenerInherited whether the listening socket is inherited as descriptor 0; otherwise
 *     {@code listenAddress} is bound
 * @param adminAddress the address of the server for operators, or null if there is none
 * @param stateDirectory the directory in which a process stores what the next one reads, or null
 * @param discoveryAddress the address from which the endpoint list is received, or null if the list
 *     never changes
 * @param seed the seed of the random numbers
 * @param descriptorLimit the maximum number of file descriptors of the process
 * @param memoryBytes the maximum memory of the process, in bytes
 * @param initialEndpoints the endpoint list as it was last known
 * @param settings the settings of the decision module
 * @param connectTimeoutMicros the maximum time to establish a connection to a worker, in
 *     microseconds
 * @param idleTimeoutMicros the time for which a worker keeps an idle connection, in microseconds
 * @param answerGraceMicros the time for which an answer still counts after a client's deadline, in
 *     microseconds
 * @param shutdownLimitMicros the maximum time from the request to shut down until the process ends,
 *     in microseconds
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
    long answerGraceMicros,
    long shutdownLimitMicros) {
  /**
   * Returns the fields that differ from another configuration and cannot change while the process
   * runs. The seed, the initial endpoints and discovery's address may differ.
   *
   * @return the names of the fields in the configuration file
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
        || answerGraceMicros != other.answerGraceMicros) {
      changes.add(SettingsKeys.SETTINGS);
    }
    return changes;
  }
}
