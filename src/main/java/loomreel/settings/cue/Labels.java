package loomreel.settings.cue;

/** The kinds of fields that CUE distinguishes by their names. */
final class Labels {
  private Labels() {}

  /** Whether a field is data: definitions and hidden fields only describe others. */
  static boolean isData(String name) {
    return !name.startsWith("#") && !name.startsWith("_");
  }

  /** Whether a name is that of a definition, whose structs are closed. */
  static boolean isDefinition(String name) {
    return name.startsWith("#");
  }

  /** Whether a name is that of a definition or a hidden definition. */
  static boolean isAnyDefinition(String name) {
    return isDefinition(name) || name.startsWith("_#");
  }
}
