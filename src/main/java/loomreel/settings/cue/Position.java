package loomreel.settings.cue;

/** A place in a file; lines and columns count from 1. */
public record Position(String file, int line, int column) implements Comparable<Position> {
  @Override
  public int compareTo(Position other) {
    int byFile = file.compareTo(other.file);
    int byLine = byFile != 0 ? byFile : Integer.compare(line, other.line);
    return byLine != 0 ? byLine : Integer.compare(column, other.column);
  }

  @Override
  public String toString() {
    return file + ":" + line + ":" + column;
  }
}
