package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import loomreel.program.harness.DispatcherProcess;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

/**
 * The sockets and child processes of the program with the JVM flags of {@code run} in {@code
 * deploy/balancer.toml}. The full fleet's platform refuses sockets other than TCP and UDP over
 * IPv4, and other programs (STANDING, "The bench's clock"). They are read from {@code /proc} while
 * an old process and its successor serve, since the hot-restart link between them is the one
 * feature of {@code serve} that opens a socket of its own.
 */
@Timeout(120)
@EnabledOnOs(OS.LINUX)
class DeployedProcessSocketsTest {
  private static final Pattern SOCKET = Pattern.compile("socket:\\[(\\d+)]");

  @Test
  void anUpgradeUsesOnlyIpv4SocketsAndStartsNoProgram() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.deployed(1)) {
      program.startSuccessor();
      assertEquals(2, program.instances().size());
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
      for (ProcessHandle process : program.instances()) {
        assertEquals(0, process.children().count(), "no other program is started");
        Set<String> held = sockets(process.pid());
        assertTrue(
            held.size() >= 3, "a listener, one for operators and the link at least: " + held);
        Set<String> unlisted = unlisted(held);
        // A TCP socket that is not connected yet, was reset, or was closed since the descriptors
        // were read is in no table. One that stays in none is of a kind that the tables do not
        // have.
        while (!unlisted.isEmpty() && System.nanoTime() < until) {
          Thread.sleep(20);
          unlisted.retainAll(unlisted(sockets(process.pid())));
        }
        assertEquals(Set.of(), unlisted, "sockets that are neither TCP nor UDP, by inode");
      }
    }
  }

  /**
   * Those of the sockets {@code held} that are in no table of IPv4 TCP or UDP. Fails on a socket
   * over IPv6 and on a Unix socket with a path.
   */
  private static Set<String> unlisted(Set<String> held) throws IOException {
    Set<String> unlisted = new HashSet<>(held);
    for (String table : List.of("tcp", "udp")) {
      unlisted.removeAll(inodes("/proc/net/" + table, 9));
      for (String inode : inodes("/proc/net/" + table + "6", 9)) {
        assertFalse(held.contains(inode), "a socket over IPv6, inode " + inode);
      }
    }
    // The JDK holds one end of an unnamed pair of Unix sockets for closing descriptors safely.
    // Nobody can connect to it, and the platform allows it. One with a path is refused.
    unlisted.removeAll(unnamedUnix());
    for (String inode : inodes("/proc/net/unix", 6, fields -> fields.length > 7)) {
      assertFalse(held.contains(inode), "a Unix socket with a path, inode " + inode);
    }
    return unlisted;
  }

  /**
   * The inodes in column {@code column} of a table of {@code /proc/net}, whose first line names the
   * columns.
   */
  private static Set<String> inodes(String table, int column) throws IOException {
    return inodes(table, column, fields -> fields.length > column);
  }

  /** The inodes of Unix sockets without a path: column 7 of {@code /proc/net/unix} is missing. */
  private static Set<String> unnamedUnix() throws IOException {
    return inodes("/proc/net/unix", 6, fields -> fields.length == 7);
  }

  private static Set<String> inodes(String table, int column, Predicate<String[]> rows)
      throws IOException {
    Set<String> inodes = new HashSet<>();
    List<String> lines =
        Files.exists(Path.of(table)) ? Files.readAllLines(Path.of(table)) : List.of();
    for (String line : lines.subList(Math.min(1, lines.size()), lines.size())) {
      String[] fields = line.trim().split(" +");
      if (rows.test(fields)) {
        inodes.add(fields[column]);
      }
    }
    return inodes;
  }

  /** The inodes of the sockets that a process holds. */
  private static Set<String> sockets(long pid) throws IOException {
    Set<String> held = new HashSet<>();
    try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
      for (Path descriptor : descriptors.toList()) {
        try {
          Matcher socket = SOCKET.matcher(Files.readSymbolicLink(descriptor).toString());
          if (socket.matches()) {
            held.add(socket.group(1));
          }
        } catch (IOException closed) {
          // A descriptor that was closed meanwhile shows nothing.
        }
      }
    }
    return held;
  }
}
