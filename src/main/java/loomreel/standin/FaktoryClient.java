package loomreel.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/** A connection to a Faktory server, of a client or a worker. For one thread at a time. */
public final class FaktoryClient implements Closeable {
  /** Reads and writes the JSON of jobs and replies. */
  public static final ObjectMapper JSON = new ObjectMapper();

  private static final int TIMEOUT_MS = 30_000;

  private final Socket socket = new Socket();
  private final InputStream in;

  /** The server replied with an error. */
  public static final class ErrorReplyException extends IOException {
    private static final long serialVersionUID = 1;

    ErrorReplyException(String message) {
      super(message);
    }
  }

  /**
   * Connects a client to a server that requires no password.
   *
   * @throws IOException if the server cannot be reached or rejects the handshake
   */
  public FaktoryClient(InetSocketAddress address) throws IOException {
    this(address, null, null);
  }

  /**
   * Connects and authenticates a client.
   *
   * @throws IOException if the server cannot be reached or rejects the handshake
   */
  public FaktoryClient(InetSocketAddress address, String password) throws IOException {
    this(address, password, null);
  }

  /**
   * Connects and authenticates.
   *
   * @param password null where the server requires none
   * @param wid the id of a worker's process, or null for a client
   * @param labels a worker's labels
   * @throws IOException if the server cannot be reached or rejects the handshake
   */
  public FaktoryClient(InetSocketAddress address, String password, String wid, String... labels)
      throws IOException {
    try {
      socket.connect(address, TIMEOUT_MS);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(TIMEOUT_MS);
      in = new BufferedInputStream(socket.getInputStream());
      handshake(password, wid, labels);
    } catch (IOException e) {
      socket.close();
      throw e;
    }
  }

  /** The connection's socket, for tests that cut it or write raw bytes. */
  public Socket socket() {
    return socket;
  }

  private void handshake(String password, String wid, String... labels) throws IOException {
    String hi = text(RespReader.read(in));
    JsonNode greeting = JSON.readTree(hi.substring(hi.indexOf(' ') + 1));
    ObjectNode hello =
        JSON.createObjectNode()
            .put("hostname", "standin")
            .put("pid", ProcessHandle.current().pid())
            .put("v", 2);
    if (wid != null) {
      hello.put("wid", wid);
      for (String label : labels) {
        hello.withArray("/labels").add(label);
      }
    }
    if (greeting.has("s")) {
      hello.put(
          "pwdhash",
          passwordHash(password, greeting.path("s").asText(), greeting.path("i").asInt()));
    }
    callExpectingOk("HELLO " + hello);
  }

  private static String passwordHash(String password, String salt, int iterations) {
    try {
      MessageDigest sha = MessageDigest.getInstance("SHA-256");
      byte[] hash = (password + salt).getBytes(StandardCharsets.UTF_8);
      for (int i = 0; i < iterations; i++) {
        hash = sha.digest(hash);
      }
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JVM has SHA-256", e);
    }
  }

  private static String text(Object answer) throws IOException {
    if (answer instanceof RespReader.ErrorReply failure) {
      throw new ErrorReplyException(failure.message());
    }
    return String.valueOf(answer);
  }

  /** Sends a command and reads its reply, as {@link RespReader#read} gives it. */
  public Object call(String command) throws IOException {
    send(command);
    return RespReader.read(in);
  }

  /** Sends a command without reading its reply. */
  public void send(String command) throws IOException {
    socket.getOutputStream().write((command + "\r\n").getBytes(StandardCharsets.UTF_8));
  }

  /** Reads the next reply. */
  public Object read() throws IOException {
    return RespReader.read(in);
  }

  /**
   * Sends a command and expects the reply OK.
   *
   * @throws IOException on any other reply
   */
  public void callExpectingOk(String command) throws IOException {
    String answer = text(call(command));
    if (!answer.equals("OK")) {
      throw new IOException("not OK: " + answer);
    }
  }

  /** Sends a command whose reply is JSON, and parses it. */
  public JsonNode callForJson(String command) throws IOException {
    return JSON.readTree(text(call(command)));
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
