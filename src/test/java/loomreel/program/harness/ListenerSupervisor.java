package loomreel.program.harness;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.io.BufferedReader;
import java.io.FileReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * A process that opens the listening socket for clients and starts dispatchers as its child
 * processes. In a deployment, the platform has this role. Each child process inherits the socket as
 * file descriptor 0, so the socket stays open when a child process exits.
 *
 * <p>The arguments of the supervisor are the command line that starts a child process. For each
 * line on its standard input, the supervisor starts a child process and prints the process id. When
 * its standard input ends, the supervisor kills all child processes and exits.
 *
 * <p>Java cannot pass a socket to a child process, so the supervisor calls functions of the C
 * library.
 */
final class ListenerSupervisor {
  private static final int AF_INET = 2;
  private static final int SOCK_STREAM = 1;
  private static final int BACKLOG = 64;

  /**
   * The bytes of a {@code sockaddr_in}: the IPv4 address family, port 0 (any free port), the
   * address 127.0.0.1 and padding.
   */
  private static final byte[] ANY_LOOPBACK_PORT = {
    AF_INET, 0, 0, 0, 127, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0
  };

  /** The functions of the C library that the supervisor calls. */
  public interface CLibrary extends Library {
    int dup(int descriptor);

    int dup2(int descriptor, int newDescriptor);

    int socket(int domain, int type, int protocol);

    int bind(int socket, byte[] address, int length);

    int listen(int socket, int backlog);
  }

  private ListenerSupervisor() {}

  /**
   * Runs the supervisor until its standard input ends.
   *
   * @param command the command line that starts a child process: the program and its arguments
   */
  public static void main(String[] command) throws Exception {
    CLibrary libc = Native.load("c", CLibrary.class);
    // Descriptor 0 becomes the socket, so the standard input gets another descriptor.
    int inputDescriptor = libc.dup(0);
    int socket = libc.socket(AF_INET, SOCK_STREAM, 0);
    if (libc.bind(socket, ANY_LOOPBACK_PORT, ANY_LOOPBACK_PORT.length) != 0
        || libc.listen(socket, BACKLOG) != 0
        || libc.dup2(socket, 0) != 0) {
      throw new IllegalStateException("cannot listen on descriptor 0");
    }
    List<Process> children = new ArrayList<>();
    try (BufferedReader inputReader =
        new BufferedReader(new FileReader("/dev/fd/" + inputDescriptor, StandardCharsets.UTF_8))) {
      while (inputReader.readLine() != null) {
        Process process = new ProcessBuilder(command).inheritIO().start();
        children.add(process);
        System.out.println(process.pid());
      }
    }
    for (Process process : children) {
      process.destroyForcibly().waitFor();
    }
  }
}
