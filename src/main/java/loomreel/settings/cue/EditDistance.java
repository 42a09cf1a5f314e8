package loomreel.settings.cue;

/** The Levenshtein distance between names, for suggestions in messages. */
final class EditDistance {
  private EditDistance() {}

  /** How many insertions, deletions and replacements of characters lead from one to the other. */
  static int between(String from, String to) {
    int[] row = new int[to.length() + 1];
    for (int column = 0; column <= to.length(); column++) {
      row[column] = column;
    }
    for (int line = 1; line <= from.length(); line++) {
      int diagonal = row[0];
      row[0] = line;
      for (int column = 1; column <= to.length(); column++) {
        int replacement = from.charAt(line - 1) == to.charAt(column - 1) ? 0 : 1;
        int shortest = Math.min(Math.min(row[column], row[column - 1]) + 1, diagonal + replacement);
        diagonal = row[column];
        row[column] = shortest;
      }
    }
    return row[to.length()];
  }
}
