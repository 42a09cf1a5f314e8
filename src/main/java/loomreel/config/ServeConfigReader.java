package loomreel.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import loomreel.decision.Settings;

/**
 * Reads the platform's configuration from a JSON file and from the following environment variables:
 *
 * <ul>
 *   <li>{@code BALANCER_CONFIG} contains the path of the JSON file.
 *   <li>{@code BALANCER_NAME}, {@code BALANCER_LISTEN}, {@code BALANCER_MGMT} and {@code
 *       BALANCER_DISCOVERY} override the fields {@code name}, {@code listen}, {@code mgmt} and
 *       {@code discovery} of the file.
 *   <li>{@code BALANCER_LISTEN_FD} is 0 if the process inherits the listening socket as descriptor
 *       0. Otherwise it is empty or not set.
 *   <li>{@code TMPDIR} contains the state directory, in which a process stores what the next
 *       process of the dispatcher reads. If the variable is empty or not set, nothing is stored.
 * </ul>
 */
public final class ServeConfigReader {
  /**
   * Maximum duration of a shutdown, in microseconds. The platform kills a process no earlier than
   * 0.7 s after the longest deadline of the request classes, counted from the request to shut down.
   * If the longest deadline is longer than 3 s, the platform uses 3 s instead. The maximum is
   * therefore 3.7 s.
   */
  private static final long PLATFORM_SHUTDOWN_LIMIT_MICROS = 3_700_000;

  /**
   * The prefix of the environment variables. The variable that overrides a field consists of this
   * prefix and the name of the field in upper case.
   */
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

  private final Object json;
  private final Map<String, String> environment;

  private ServeConfigReader(Object json, Map<String, String> environment) {
    this.json = json;
    this.environment = environment;
  }

  /**
   * Reads the platform's configuration.
   *
   * @param environment the environment variables of the process
   * @throws ConfigException if a required value is missing or a value is invalid
   */
  public static ServeConfig read(Map<String, String> environment) throws ConfigException {
    String file = environment.get(CONFIG_VARIABLE);
    if (file == null || file.isEmpty()) {
      throw new ConfigException(CONFIG_VARIABLE + " is not set");
    }
    String descriptor = environment.getOrDefault(LISTENER_VARIABLE, "");
    // Java's System.inheritedChannel() can use an inherited listening socket only if it is
    // descriptor 0.
    if (!descriptor.isEmpty() && !descriptor.equals("0")) {
      throw new ConfigException(LISTENER_VARIABLE + " can only be 0, not " + descriptor);
    }
    Object json = readJson(file);
    try {
      return new ServeConfigReader(json, environment).config(!descriptor.isEmpty());
    } catch (IllegalArgumentException e) {
      throw new ConfigException(file + ": " + e.getMessage());
    }
  }

  /**
   * Reads the platform's configuration again while the process runs. The environment variable
   * {@code BALANCER_DISCOVERY} is ignored: it contains the address of discovery at the start of the
   * process, and the address in the file is newer.
   *
   * @param environment the environment variables of the process
   * @throws ConfigException if a required value is missing or a value is invalid
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

  private ServeConfig config(boolean listenerInherited) {
    Settings settings = new SettingsReader(JsonValues.get(json, SettingsKeys.SETTINGS)).read();
    if (settings.classes().isEmpty()) {
      throw new IllegalArgumentException("no " + SettingsKeys.REQUEST_CLASSES);
    }
    String directory = environment.getOrDefault(DIRECTORY_VARIABLE, "");
    String admin = optional(SettingsKeys.ADMIN_ADDRESS);
    return new ServeConfig(
        required(SettingsKeys.DISPATCHER_NAME),
        AddressParser.parse(required(SettingsKeys.LISTEN_ADDRESS)),
        listenerInherited,
        admin.isEmpty() ? null : AddressParser.parse(admin),
        directory.isEmpty() ? null : Path.of(directory),
        AddressParser.parse(required(SettingsKeys.DISCOVERY_ADDRESS)),
        seed(),
        maxDescriptors(),
        memoryBytes(),
        EndpointList.of(JsonValues.get(json, SettingsKeys.INITIAL_ENDPOINTS)),
        settings,
        settingMicros(
            DEFAULT_CONNECT_TIMEOUT_SECONDS,
            SettingsKeys.LIMITS,
            SettingsKeys.CONNECT_TIMEOUT_SECONDS),
        settingMicros(
            DEFAULT_IDLE_TIMEOUT_SECONDS, SettingsKeys.LIMITS, SettingsKeys.IDLE_TIMEOUT_SECONDS),
        settingMicros(0, SettingsKeys.RULES, SettingsKeys.ANSWER_GRACE_SECONDS),
        PLATFORM_SHUTDOWN_LIMIT_MICROS);
  }

  private long seed() {
    String seed = String.valueOf(JsonValues.get(json, SettingsKeys.SEED));
    return Long.parseUnsignedLong(seed, SEED_RADIX);
  }

  private int maxDescriptors() {
    Object number = JsonValues.get(json, SettingsKeys.RESOURCES, SettingsKeys.MAX_DESCRIPTORS);
    return (int) JsonValues.number(number, DEFAULT_DESCRIPTORS);
  }

  private long settingMicros(double defaultSeconds, String section, String key) {
    return JsonValues.micros(defaultSeconds, json, SettingsKeys.SETTINGS, section, key);
  }

  private long memoryBytes() {
    Object mebibytes = JsonValues.get(json, SettingsKeys.RESOURCES, SettingsKeys.MEMORY_MEBIBYTES);
    return (long) JsonValues.number(mebibytes, DEFAULT_MEMORY_MEBIBYTES) << MEBIBYTE_SHIFT;
  }

  private static String variable(String field) {
    return VARIABLE_PREFIX + field.toUpperCase(Locale.ROOT);
  }

  /**
   * Returns the value of the environment variable that overrides a field. If the variable is not
   * set or is empty, returns the text in the field, or an empty string if the field contains no
   * text.
   */
  private String optional(String field) {
    String value = environment.getOrDefault(variable(field), "");
    return value.isEmpty() ? JsonValues.text(json, field) : value;
  }

  private String required(String field) {
    String value = optional(field);
    if (value.isEmpty()) {
      throw new IllegalArgumentException(
          "no " + field + ", and " + variable(field) + " is not set");
    }
    return value;
  }
}
