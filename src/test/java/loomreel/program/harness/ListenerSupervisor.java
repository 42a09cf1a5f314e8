package loomreel.program.harness;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.io.BufferedReader;
import java.io.FileReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A supervisor process that owns the clients' listening socket, as the platform does: every process
 * that it starts inherits the socket as descriptor 0, so that it outlives each of them.
 *
 * <p>Each line on its standard input starts its arguments as a command and prints the pid. At the
 * end of the input it kills what it has started, and exits. Java cannot pass on a socket, hence the
 * calls of the C library.
 */
final class ListenerSupervisor {
  private static final int AF_INET = 2;
  private static final int SOCK_STREAM = 1;
  private static final int BACKLOG = 64;

  /** A {@code sockaddr_in}: IPv4, any port, 127.0.0.1. */
  private static final byte[] ANY_LOOPBACK_PORT = {
    AF_INET, 0, 0, 0, 127, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0
  };

  /** The functions of the C library that are called. */
  public interface CLibrary extends Library {
    int dup(int descriptor);

    int dup2(int descriptor, int as);

    int socket(int domain, int type, int protocol);

    int bind(int socket, byte[] address, int length);

    int listen(int socket, int backlog);
  }

  private ListenerSupervisor() {}

  /** Runs the supervisor for a command. */
  public static void main(String[] command) throws Exception {
    CLibrary c = Native.load("c", CLibrary.class);
    int input = c.dup(0);
    int socket = c.socket(AF_INET, SOCK_STREAM, 0);
    if (c.bind(socket, ANY_LOOPBACK_PORT, ANY_LOOPBACK_PORT.length) != 0
        || c.listen(socket, BACKLOG) != 0
        || c.dup2(socket, 0) != 0) {
      throw new IllegalStateException("cannot listen on descriptor 0");
    }
    List<Process> started = new ArrayList<>();
    try (BufferedReader lines =
        new BufferedReader(new FileReader("/dev/fd/" + input, StandardCharsets.UTF_8))) {
      while (lines.readLine() != null) {
        Process process = new ProcessBuilder(command).inheritIO().start();
        started.add(process);
        System.out.println(process.pid());
      }
    }
    for (Process process : started) {
      process.destroyForcibly().waitFor();
    }
  }
}
