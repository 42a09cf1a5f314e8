package loomreel.settings.cue;

/** Writes and reads string literals. */
final class StringLiterals {
  private StringLiterals() {}

  /** A string as a literal in quotes. */
  static String quote(String text) {
    StringBuilder out = new StringBuilder("\"");
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      switch (c) {
        case '"' -> out.append("\\\"");
        case '\\' -> out.append("\\\\");
        case '\n' -> out.append("\\n");
        case '\r' -> out.append("\\r");
        case '\t' -> out.append("\\t");
        default -> out.append(c < ' ' ? String.format("\\u%04x", (int) c) : String.valueOf(c));
      }
    }
    return out.append('"').toString();
  }

  /**
   * The text between two quotes.
   *
   * @throws IllegalArgumentException naming an escape that is unknown or unsupported
   */
  static String unquote(String quoted) {
    StringBuilder out = new StringBuilder();
    for (int i = 1; i < quoted.length() - 1; i++) {
      char c = quoted.charAt(i);
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escape = quoted.charAt(++i);
      switch (escape) {
        case 'n' -> out.append('\n');
        case 'r' -> out.append('\r');
        case 't' -> out.append('\t');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case '"', '\\', '/' -> out.append(escape);
        case 'u', 'U' -> {
          int digits = escape == 'u' ? 4 : 8;
          String hex = i + digits < quoted.length() ? quoted.substring(i + 1, i + 1 + digits) : "";
          if (!hex.matches("[0-9a-fA-F]+")
              || !Character.isValidCodePoint((int) Long.parseLong(hex, 16))) {
            throw new IllegalArgumentException(
                "\\" + escape + " wants " + digits + " hexadecimal digits");
          }
          out.appendCodePoint((int) Long.parseLong(hex, 16));
          i += digits;
        }
        case '(' ->
            throw new IllegalArgumentException("interpolation, \\(...), is left out of this form");
        default -> throw new IllegalArgumentException("unknown escape \\" + escape);
      }
    }
    return out.toString();
  }
}
