import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that sends one job after the other on a connection that it keeps. If the connection
 * closes without an answer, it sends the job once more on a new connection.
 */
final class Client {
  /** A job and its answer. Times are seconds of the run; status 0 means no answer. */
  static final class Job {
    String id;
    double sentAt;
    double answeredAt;
    int status;
    String result = "";
    boolean sentAgain;
  }

  /** How long the client waits for an answer. */
  static final double BUDGET_SECONDS = 5;

  private static final AtomicLong IDS = new AtomicLong(System.nanoTime() << 20);

  private final Run run;
  private final int port;
  private final List<Job> jobs;
  private Socket socket;
  private InputStream in;

  Client(Run run, int port, List<Job> jobs) {
    this.run = run;
    this.port = port;
    this.jobs = jobs;
  }

  /** Sends a job of a class that runs for so many milliseconds, and waits for its answer. */
  Job send(String requestClass, int millis) {
    Job job = new Job();
    job.id = String.format("%016x", IDS.incrementAndGet());
    job.sentAt = run.seconds();
    jobs.add(job);
    try {
      exchange(job, requestClass, millis);
    } catch (IOException first) {
      close();
      job.sentAgain = true;
      try {
        exchange(job, requestClass, millis);
      } catch (IOException second) {
        close();
      }
    }
    job.answeredAt = run.seconds();
    return job;
  }

  private void exchange(Job job, String requestClass, int millis) throws IOException {
    if (socket == null) {
      socket = new Socket();
      socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 2000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(8000);
      in = new BufferedInputStream(socket.getInputStream());
    }
    String body = Integer.toString(millis);
    String request =
        "POST /"
            + requestClass
            + " HTTP/1.1\r\nHost: service.internal\r\nX-Call-Id: "
            + job.id
            + "\r\nX-Caller: montreal-office\r\nX-Budget-Ms: "
            + (int) (1000 * BUDGET_SECONDS)
            + "\r\nContent-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
    int status = Integer.parseInt(line().split(" ")[1]);
    int length = 0;
    boolean closes = false;
    for (String header = line(); !header.isEmpty(); header = line()) {
      String lower = header.toLowerCase();
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(lower.indexOf(':') + 1).trim());
      }
      closes |= lower.startsWith("connection:") && lower.contains("close");
    }
    byte[] result = in.readNBytes(length);
    if (result.length < length) {
      throw new EOFException();
    }
    job.status = status;
    job.result = new String(result, StandardCharsets.UTF_8);
    if (closes) {
      close();
    }
  }

  private String line() throws IOException {
    StringBuilder line = new StringBuilder();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new EOFException();
      }
      if (next != '\r') {
        line.append((char) next);
      }
    }
    return line.toString();
  }

  void close() {
    if (socket != null) {
      try {
        socket.close();
      } catch (IOException e) {
        // It is closed either way.
      }
      socket = null;
    }
  }
}
