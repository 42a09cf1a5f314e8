package loomreel.program.harness;

/**
 * Creates the text of settings files for daemons that accept Faktory clients. The settings are
 * written in the language CUE. Every port in the settings is 0, so that a daemon listens on free
 * ports.
 */
public final class FaktoryDaemonSettings {
  /**
   * A settings file with the request classes copy and issue. The first placeholder is replaced by
   * further request classes, and the second by further settings of the Faktory server.
   */
  private static final String TEMPLATE =
      """
      name: "t"
      listen: {http: "127.0.0.1:0", operators: "127.0.0.1:0"}
      classes: {
      	copy: {repeat: "free", target: "20s", deadline: "20s"}
      	issue: {repeat: "single_shot", target: "20s", deadline: "20s"}
      %s}
      faktory: {
      	listen: "127.0.0.1:0"
      %s}
      """;

  private FaktoryDaemonSettings() {}

  /**
   * Returns the text of a settings file.
   *
   * @param requestClasses further request classes, one CUE field on each line; may be empty
   * @param faktorySettings further settings of the Faktory server, one CUE field on each line; may
   *     be empty
   */
  public static String of(String requestClasses, String faktorySettings) {
    return TEMPLATE.formatted(requestClasses.indent(1), faktorySettings.indent(1));
  }
}
