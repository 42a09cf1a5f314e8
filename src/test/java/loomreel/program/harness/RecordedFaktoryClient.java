package loomreel.program.harness;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A Faktory client or worker whose connection is recorded in a transcript byte for byte. */
public final class RecordedFaktoryClient implements AutoCloseable {
  private final Transcript transcript;
  private final String name;
  private final Socket socket = new Socket();

  /** Connects; {@code name} is the client's in the transcript. */
  public RecordedFaktoryClient(Transcript transcript, String name, InetSocketAddress server)
      throws IOException {
    this.transcript = transcript;
    this.name = name;
    socket.connect(server);
    socket.setSoTimeout(HttpIo.TIMEOUT_MILLIS);
  }

  /** Sends a command; the bytes of the reply. */
  public String call(String command) throws IOException {
    transcript.send(name, socket, command + "\r\n");
    return receive();
  }

  /** The bytes of the next reply; empty at the end of the connection. */
  public String receive() throws IOException {
    String reply = readReply();
    if (reply.isEmpty()) {
      transcript.receive(name, (HttpMessage) null);
    } else {
      transcript.add(Transcript.PROGRAM, name, reply);
    }
    return reply;
  }

  private String readReply() throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      bytes.write(next);
      if (next == '\n') {
        break;
      }
    }
    String line = bytes.toString(StandardCharsets.ISO_8859_1);
    if (line.startsWith("$") && !line.startsWith("$-")) {
      int length = Integer.parseInt(line.substring(1).strip());
      bytes.write(in.readNBytes(length + "\r\n".length()));
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
