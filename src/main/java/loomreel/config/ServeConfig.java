package loomreel.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import loomreel.decision.Settings;

/**
 * The configuration of a dispatcher process. {@link ServeConfigReader} reads a configuration from
 * the platform's JSON file and environment variables. The {@code daemon} command instead translates
 * its settings file into a configuration.
 *
 * @param name the dispatcher's name
 * @param listenAddress the address on which the connections of clients and the callbacks of workers
 *     are accepted
 * @param listenerInherited true if the process inherits the listening socket as descriptor 0; false
 *     if the process binds {@code listenAddress} itself
 * @param adminAddress the address of the server for operators, or null if there is no such server
 * @param stateDirectory the directory in which a process of the dispatcher stores what the next
 *     process reads, or null if nothing is stored
 * @param discoveryAddress the address of discovery, from which the endpoint list is received, or
 *     null if the list never changes
 * @param seed the seed of the random numbers
 * @param descriptorLimit the maximum number of file descriptors of the dispatcher; during a hot
 *     restart, its processes share them
 * @param memoryBytes the maximum memory of the process, in bytes
 * @param initialEndpoints the endpoint list at the start; if {@code discoveryAddress} is not null,
 *     discovery later confirms, updates or replaces this list
 * @param settings the settings of the decision module
 * @param connectTimeoutMicros the maximum time to establish a connection to a worker, in
 *     microseconds
 * @param idleTimeoutMicros the time after which a worker closes an idle connection, in microseconds
 * @param answerGraceMicros the time after a client's deadline in which an answer still counts, in
 *     microseconds
 * @param shutdownLimitMicros the maximum duration of a graceful shutdown, in microseconds; {@link
 *     Long#MAX_VALUE} if there is no maximum
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
   * Returns the fields in which this configuration differs from another one and which cannot change
   * while the process runs. Differences in the seed, the initial endpoints and the address of
   * discovery are permitted and are not returned. The fields {@code listenerInherited}, {@code
   * stateDirectory} and {@code shutdownLimitMicros} are not compared.
   *
   * @return the names that the fields have in the platform's configuration file
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
