package loomreel.program;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.io.BufferedReader;
import java.io.FileReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the clients' listening socket as the platform does: every process that it starts inherits
 * it as descriptor 0. Each line on its standard input starts its arguments as a process, whose
 * number it prints; it ends with its input, and all of them with it. Java cannot hand over a socket
 * by itself, hence the calls of the C library.
 */
final class ListenerSupervisor {
  /** The calls that are needed. */
  public interface C extends Library {
    int dup(int descriptor);

    int dup2(int descriptor, int as);

    int socket(int domain, int type, int protocol);

    int bind(int socket, byte[] address, int length);

    int listen(int socket, int backlog);
  }

  private ListenerSupervisor() {}

  public static void main(String[] command) throws Exception {
    C c = Native.load("c", C.class);
    int orders = c.dup(0);
    int socket = c.socket(2, 1, 0);
    byte[] anyPort = {2, 0, 0, 0, 127, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0};
    if (c.bind(socket, anyPort, anyPort.length) != 0
        || c.listen(socket, 64) != 0
        || c.dup2(socket, 0) != 0) {
      throw new IllegalStateException("no socket");
    }
    List<Process> started = new ArrayList<>();
    try (BufferedReader lines =
        new BufferedReader(new FileReader("/dev/fd/" + orders, StandardCharsets.UTF_8))) {
      while (lines.readLine() != null) {
        started.add(new ProcessBuilder(command).inheritIO().start());
        System.out.println(started.get(started.size() - 1).pid());
      }
    }
    for (Process process : started) {
      process.destroyForcibly().waitFor();
    }
  }
}
