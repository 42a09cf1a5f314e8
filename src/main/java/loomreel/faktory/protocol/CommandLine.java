package loomreel.faktory.protocol;

import java.nio.charset.StandardCharsets;
import loomreel.io.ByteQueue;

/**
 * A command line whose bytes are in pooled buffers until they are taken. Owns these buffers until
 * {@link #takeBytes}, {@link #takeText} or {@link #release}.
 */
public final class CommandLine {
  private final ByteQueue line;

  /** Takes ownership of the bytes of a line without its line feed. */
  CommandLine(ByteQueue line) {
    this.line = line;
  }

  /** The size of the line, in bytes. */
  public int length() {
    return line.length();
  }

  /** Whether the line begins with a verb and a space. */
  public boolean hasVerb(String verb) {
    return line.startsWith((verb + " ").getBytes(StandardCharsets.US_ASCII));
  }

  /** Takes the line as text, without a carriage return at its end. */
  public String takeText() {
    byte[] all = takeBytes();
    int length = all.length > 0 && all[all.length - 1] == '\r' ? all.length - 1 : all.length;
    return new String(all, 0, length, StandardCharsets.UTF_8);
  }

  /** Takes the line as it was sent. */
  public byte[] takeBytes() {
    byte[] all = line.toArray();
    line.release();
    return all;
  }

  /** Gives the buffers back; the line cannot be taken afterwards. */
  public void release() {
    line.release();
  }
}
