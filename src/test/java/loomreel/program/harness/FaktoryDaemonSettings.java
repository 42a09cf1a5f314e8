package loomreel.program.harness;

/** Settings files of daemons that accept Faktory clients, at free ports. */
public final class FaktoryDaemonSettings {
  /** The classes copy and issue; further classes and settings of Faktory, one a line. */
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

  /** Settings with these further classes and settings of Faktory, each a line of CUE. */
  public static String of(String classes, String faktory) {
    return TEMPLATE.formatted(classes.indent(1), faktory.indent(1));
  }
}
