package loomreel.program.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * A Faktory client or worker that records the commands that it sends, and the replies that it
 * receives, in a {@link Transcript}.
 */
public final class RecordedFaktoryClient implements AutoCloseable {
  private final Transcript transcript;
  private final String name;
  private final Socket socket = new Socket();

  /**
   * Connects to the server.
   *
   * @param name the name of this client in the transcript
   */
  public RecordedFaktoryClient(Transcript transcript, String name, InetSocketAddress server)
      throws IOException {
    this.transcript = transcript;
    this.name = name;
    socket.connect(server);
    socket.setSoTimeout(HttpIo.TIMEOUT_MILLIS);
  }

  /**
   * Sends a command, waits for the reply, and records both.
   *
   * @param command the command, without the line break at its end
   * @return the reply in the form that {@link #receive} returns
   */
  public String call(String command) throws IOException {
    transcript.send(name, socket, command + "\r\n");
    return receive();
  }

  /**
   * Waits for the next reply and records this reply. If the connection ends before a reply arrives,
   * records the end of the connection instead.
   *
   * @return the reply, with its line breaks and with one character for each byte; empty if the
   *     connection ended
   */
  public String receive() throws IOException {
    String reply = readReply();
    if (reply.isEmpty()) {
      transcript.receive(name, (HttpMessage) null);
    } else {
      transcript.add(Transcript.PROGRAM, name, reply);
    }
    return reply;
  }

  /**
   * Reads a line. If this line announces a bulk string, with a dollar sign and a length, reads the
   * bulk string as well.
   */
  private String readReply() throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream replyBytes = new ByteArrayOutputStream();
    for (int nextByte = in.read(); nextByte >= 0; nextByte = in.read()) {
      replyBytes.write(nextByte);
      if (nextByte == '\n') {
        break;
      }
    }
    String line = replyBytes.toString(StandardCharsets.ISO_8859_1);
    if (line.startsWith("$") && !line.startsWith("$-")) {
      int length = Integer.parseInt(line.substring(1).strip());
      replyBytes.write(in.readNBytes(length + "\r\n".length()));
    }
    return replyBytes.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
