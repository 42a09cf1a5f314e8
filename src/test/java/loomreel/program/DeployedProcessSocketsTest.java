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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.condition.EnabledOnOs;
import org.junit.jupiter.api.condition.OS;

/**
 * The program as {@code run} in {@code deploy/balancer.toml} starts it, checked against what the
 * full fleet's platform refuses (STANDING, "The bench's clock"): sockets other than TCP and UDP
 * over IPv4, and other programs. It is read from {@code /proc} while an old and a new process serve
 * side by side, since the tie between them is the one feature of {@code serve} that opens a socket
 * of its own.
 */
@Timeout(120)
@EnabledOnOs(OS.LINUX)
class DeployedProcessSocketsTest {
  private static final Pattern SOCKET = Pattern.compile("socket:\\[(\\d+)]");

  @Test
  void anUpgradeUsesOnlyIpv4SocketsAndStartsNoProgram() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.deployed(1)) {
      program.startSuccessor();
      assertEquals(2, program.instances.size());
      long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
      for (ProcessHandle process : program.instances) {
        assertEquals(0, process.children().count(), "no other program is started");
        Set<String> held = sockets(process.pid());
        assertTrue(held.size() >= 3, "the listener, operators' and the tie at least: " + held);
        Set<String> unlisted = unlisted(held);
        // A TCP socket that is not connected yet, was reset, or was closed since the descriptors
        // were read
        // stands in no table. Only one that stays in none is of a kind that the tables do not have.
        while (!unlisted.isEmpty() && System.nanoTime() < until) {
          Thread.sleep(20);
          unlisted.retainAll(unlisted(sockets(process.pid())));
        }
        assertEquals(Set.of(), unlisted, "sockets that are neither TCP nor UDP, by inode");
      }
    }
  }

  /**
   * Those of the sockets {@code held} that stand in no table of IPv4 TCP or UDP; fails on one that
   * stands among those of IPv6 or among the Unix sockets with a path.
   */
  private static Set<String> unlisted(Set<String> held) throws IOException {
    Set<String> left = new HashSet<>(held);
    for (String table : List.of("tcp", "udp")) {
      left.removeAll(inodes("/proc/net/" + table, 9));
      for (String six : inodes("/proc/net/" + table + "6", 9)) {
        assertFalse(held.contains(six), "a socket over IPv6, inode " + six);
      }
    }
    // The JDK holds one end of an unnamed pair of Unix sockets for closing descriptors safely:
    // nobody can come
    // to it, and the platform allows it. A Unix socket with a path can be come to, and is refused.
    left.removeAll(unnamedUnix());
    for (String unix : inodes("/proc/net/unix", 6, fields -> fields.length > 7)) {
      assertFalse(held.contains(unix), "a Unix socket with a path, inode " + unix);
    }
    return left;
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
        } catch (IOException gone) {
          // A descriptor closed while it was listed says nothing either way.
        }
      }
    }
    return held;
  }
}
