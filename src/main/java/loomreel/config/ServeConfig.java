package loomreel.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import loomreel.decision.Settings;

/**
 * The configuration of a dispatcher process. On the platform {@code BALANCER_CONFIG} names a JSON
 * file, and the other environment variables override what it says.
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
 * @param connectTimeoutMicros how long a connection to a worker may take to come up
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
   * The platform kills a process no earlier than 0.7 s after the longest deadline, which counts as
   * 3 s at most.
   */
  private static final long PLATFORM_SHUTDOWN_LIMIT_MICROS = 3_700_000;

  /** What stands before the name of a field in the name of its environment variable. */
  private static final String VARIABLE_PREFIX = "BALANCER_";

  private static final String CONFIG_VARIABLE = VARIABLE_PREFIX + "CONFIG";
  private static final String DISCOVERY_VARIABLE = VARIABLE_PREFIX + "DISCOVERY";
  private static final String LISTENER_VARIABLE = VARIABLE_PREFIX + "LISTEN_FD";
  private static final String DIRECTORY_VARIABLE = "TMPDIR";

  private static final int SEED_RADIX = 16;
  private static final int DEFAULT_DESCRIPTORS = 1024;
  private static final int DEFAULT_MEMORY_MEBIBYTES = 192;
  private static final int MEBIBYTE_SHIFT = 20;
  private static final double DEFAULT_CONNECT_TIMEOUT_SECONDS = 0.25;
  private static final double DEFAULT_IDLE_TIMEOUT_SECONDS = 5;

  /**
   * Reads the platform's configuration.
   *
   * @param environment the environment variables of the process
   * @throws ConfigException if something is missing or does not fit
   */
  public static ServeConfig read(Map<String, String> environment) throws ConfigException {
    String file = environment.get(CONFIG_VARIABLE);
    if (file == null || file.isEmpty()) {
      throw new ConfigException(CONFIG_VARIABLE + " is not set");
    }
    String descriptor = environment.getOrDefault(LISTENER_VARIABLE, "");
    // The platform's own library hands over this one and no other.
    if (!descriptor.isEmpty() && !descriptor.equals("0")) {
      throw new ConfigException(LISTENER_VARIABLE + " can only be 0, not " + descriptor);
    }
    Object json = readJson(file);
    try {
      return of(json, !descriptor.isEmpty(), environment);
    } catch (IllegalArgumentException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
  }

  /**
   * Reads the platform's configuration again while the process runs. {@code BALANCER_DISCOVERY}
   * says where discovery was at the start; what the file names now is newer and takes precedence.
   *
   * @param environment the environment variables of the process
   * @throws ConfigException if something is missing or does not fit
   */
  public static ServeConfig reread(Map<String, String> environment) throws ConfigException {
    Map<String, String> others = new HashMap<>(environment);
    others.remove(DISCOVERY_VARIABLE);
    return read(others);
  }

  private static Object readJson(String file) throws ConfigException {
    try {
      return JsonTree.read(Files.readAllBytes(Path.of(file)));
    } catch (IOException | RuntimeException e) {
      throw new ConfigException(
          file + " cannot be read: " + e.getMessage().lines().findFirst().orElse(""));
    }
  }

  private static ServeConfig of(
      Object json, boolean listenerInherited, Map<String, String> environment) {
    Settings settings = new SettingsReader(JsonValues.get(json, SettingsKeys.SETTINGS)).read();
    if (settings.classes().isEmpty()) {
      throw new IllegalArgumentException("no " + SettingsKeys.REQUEST_CLASSES);
    }
    String directory = environment.getOrDefault(DIRECTORY_VARIABLE, "");
    String admin = optional(environment, SettingsKeys.ADMIN_ADDRESS, json);
    return new ServeConfig(
        required(environment, SettingsKeys.DISPATCHER_NAME, json),
        AddressParser.parse(required(environment, SettingsKeys.LISTEN_ADDRESS, json)),
        listenerInherited,
        admin.isEmpty() ? null : AddressParser.parse(admin),
        directory.isEmpty() ? null : Path.of(directory),
        AddressParser.parse(required(environment, SettingsKeys.DISCOVERY_ADDRESS, json)),
        Long.parseUnsignedLong(String.valueOf(JsonValues.get(json, SettingsKeys.SEED)), SEED_RADIX),
        (int)
            JsonValues.number(
                JsonValues.get(json, SettingsKeys.RESOURCES, SettingsKeys.MAX_DESCRIPTORS),
                DEFAULT_DESCRIPTORS),
        memoryBytes(json),
        EndpointList.of(JsonValues.get(json, SettingsKeys.INITIAL_ENDPOINTS)),
        settings,
        JsonValues.micros(
            DEFAULT_CONNECT_TIMEOUT_SECONDS,
            json,
            SettingsKeys.SETTINGS,
            SettingsKeys.LIMITS,
            SettingsKeys.CONNECT_TIMEOUT_SECONDS),
        JsonValues.micros(
            DEFAULT_IDLE_TIMEOUT_SECONDS,
            json,
            SettingsKeys.SETTINGS,
            SettingsKeys.LIMITS,
            SettingsKeys.IDLE_TIMEOUT_SECONDS),
        JsonValues.micros(
            0, json, SettingsKeys.SETTINGS, SettingsKeys.RULES, SettingsKeys.ANSWER_SLACK_SECONDS),
        PLATFORM_SHUTDOWN_LIMIT_MICROS);
  }

  private static long memoryBytes(Object json) {
    Object mebibytes = JsonValues.get(json, SettingsKeys.RESOURCES, SettingsKeys.MEMORY_MEBIBYTES);
    return (long) JsonValues.number(mebibytes, DEFAULT_MEMORY_MEBIBYTES) << MEBIBYTE_SHIFT;
  }

  private static String variable(String field) {
    return VARIABLE_PREFIX + field.toUpperCase(Locale.ROOT);
  }

  /** The environment variable of a field, else the field itself; empty where neither is set. */
  private static String optional(Map<String, String> environment, String field, Object json) {
    String value = environment.getOrDefault(variable(field), "");
    return value.isEmpty() ? JsonValues.text(json, field) : value;
  }

  private static String required(Map<String, String> environment, String field, Object json) {
    String value = optional(environment, field, json);
    if (value.isEmpty()) {
      throw new IllegalArgumentException(
          "no " + field + ", and " + variable(field) + " is not set");
    }
    return value;
  }

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
