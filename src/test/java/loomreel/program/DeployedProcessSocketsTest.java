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
 * Tests which sockets and child processes the program has when it runs with the JVM flags of {@code
 * run} in {@code deploy/balancer.toml}. The platform that runs the full fleet of dispatchers
 * permits only TCP and UDP sockets over IPv4, and it does not permit the start of other programs.
 * These rules are on the page STANDING, in the section "The bench's clock". The page is not in this
 * repository. The platform also permits the unnamed Unix sockets that the JDK uses internally.
 *
 * <p>The test reads the sockets from {@code /proc} while an old process and its successor serve.
 * Each process has a listener for clients and a listener for the management API. The hot-restart
 * link connects the two processes.
 */
@Timeout(120)
@EnabledOnOs(OS.LINUX)
class DeployedProcessSocketsTest {
  /**
   * The target of a symbolic link in {@code /proc/PID/fd} if the descriptor is a socket. Group 1 is
   * the inode of the socket.
   */
  private static final Pattern SOCKET_LINK = Pattern.compile("socket:\\[(\\d+)]");

  @Test
  void duringAnUpgradeProcessesUseOnlyIpv4SocketsAndStartNoProgram() throws Exception {
    try (DispatcherProcess program = DispatcherProcess.deployed(1)) {
      program.startSuccessor();
      assertEquals(2, program.instances().size());
      long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
      for (ProcessHandle process : program.instances()) {
        assertEquals(0, process.children().count(), "the program must not start another program");
        Set<String> openSockets = openSocketInodes(process.pid());
        assertTrue(
            openSockets.size() >= 3,
            "expected at least two listeners and the hot-restart link: " + openSockets);
        Set<String> unlisted = unlisted(openSockets);
        // A TCP socket is in no table of /proc/net if it is not connected yet, was reset, or was
        // closed after the descriptors were read. The loop therefore reads the descriptors and the
        // tables again. If a socket never appears, the tables do not contain sockets of its type.
        while (!unlisted.isEmpty() && System.nanoTime() < deadlineNanos) {
          Thread.sleep(20);
          unlisted.retainAll(unlisted(openSocketInodes(process.pid())));
        }
        assertEquals(
            Set.of(), unlisted, "inodes of sockets that are not TCP, UDP or unnamed Unix sockets");
      }
    }
  }

  /**
   * Returns those inodes of {@code openSockets} that are neither in the IPv4 tables of TCP and UDP
   * nor belong to an unnamed Unix socket. Fails if an inode of {@code openSockets} belongs to an
   * IPv6 socket or to a Unix socket with a path.
   */
  private static Set<String> unlisted(Set<String> openSockets) throws IOException {
    Set<String> unlisted = new HashSet<>(openSockets);
    for (String table : List.of("tcp", "udp")) {
      unlisted.removeAll(inodes("/proc/net/" + table, 9));
      for (String inode : inodes("/proc/net/" + table + "6", 9)) {
        assertFalse(openSockets.contains(inode), "a socket over IPv6, inode " + inode);
      }
    }
    // The JDK holds one socket of an unnamed pair of Unix sockets, which it uses to close
    // descriptors safely. The platform permits this socket, because no process can connect to it.
    // The platform rejects a Unix socket with a path.
    unlisted.removeAll(unnamedUnixSocketInodes());
    for (String inode : inodes("/proc/net/unix", 6, fields -> fields.length > 7)) {
      assertFalse(openSockets.contains(inode), "a Unix socket with a path, inode " + inode);
    }
    return unlisted;
  }

  /**
   * Returns the inodes in a column of a table. Rows that lack this column are skipped.
   *
   * @param table the path of a table in {@code /proc/net}
   * @param column the column of the inodes, counted from 0
   */
  private static Set<String> inodes(String table, int column) throws IOException {
    return inodes(table, column, fields -> fields.length > column);
  }

  /**
   * Returns the inodes of all Unix sockets without a path. In {@code /proc/net/unix}, the rows of
   * these sockets lack column 7, the path.
   */
  private static Set<String> unnamedUnixSocketInodes() throws IOException {
    return inodes("/proc/net/unix", 6, fields -> fields.length == 7);
  }

  /**
   * Returns the inodes in a column of a table, from the rows that match a filter. The first line of
   * the table, with the column names, is skipped. Returns an empty set if the table does not exist.
   */
  private static Set<String> inodes(String table, int column, Predicate<String[]> rowFilter)
      throws IOException {
    Set<String> inodes = new HashSet<>();
    List<String> lines =
        Files.exists(Path.of(table)) ? Files.readAllLines(Path.of(table)) : List.of();
    for (String line : lines.subList(Math.min(1, lines.size()), lines.size())) {
      String[] fields = line.trim().split(" +");
      if (rowFilter.test(fields)) {
        inodes.add(fields[column]);
      }
    }
    return inodes;
  }

  /** Returns the inodes of the sockets that a process has open. */
  private static Set<String> openSocketInodes(long pid) throws IOException {
    Set<String> openSockets = new HashSet<>();
    try (Stream<Path> descriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
      for (Path descriptor : descriptors.toList()) {
        try {
          Matcher socket = SOCKET_LINK.matcher(Files.readSymbolicLink(descriptor).toString());
          if (socket.matches()) {
            openSockets.add(socket.group(1));
          }
        } catch (IOException closed) {
          // The descriptor was closed after the directory was listed.
        }
      }
    }
    return openSockets;
  }
}
