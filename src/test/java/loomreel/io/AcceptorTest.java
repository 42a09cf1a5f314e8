package loomreel.io;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests when an {@link Acceptor} accepts connections, on real sockets and with the real clock. */
class AcceptorTest {
  private static final long RUN_MICROS = 50_000;
  private static final int CONNECTIONS = 3;

  private final List<SocketChannel> clients = new ArrayList<>();
  private final List<SocketChannel> accepted = new ArrayList<>();
  private final List<Long> acceptedAtMicros = new ArrayList<>();
  private EventLoop loop;
  private ServerSocketChannel listener;

  @BeforeEach
  void connectClients() throws IOException {
    loop = new EventLoop(new BufferPool(1));
    listener = ServerSocketChannel.open();
    listener.bind(new InetSocketAddress(InetAddress.getByAddress(new byte[] {127, 0, 0, 1}), 0));
    listener.configureBlocking(false);
    for (int i = 0; i < CONNECTIONS; i++) {
      clients.add(SocketChannel.open(listener.getLocalAddress()));
    }
  }

  @AfterEach
  void close() throws IOException {
    for (SocketChannel client : clients) {
      client.close();
    }
    for (SocketChannel channel : accepted) {
      channel.close();
    }
    loop.close();
  }

  private Acceptor createAcceptor(int maxPerIteration, Acceptor.ConnectionHandler handler)
      throws IOException {
    return new Acceptor(loop, listener, maxPerIteration, new RateLimitedLogger("test"), handler);
  }

  private void record(SocketChannel channel) {
    accepted.add(channel);
    acceptedAtMicros.add(loop.now());
    if (accepted.size() == CONNECTIONS) {
      loop.stop();
    }
  }

  private void runBriefly() throws IOException {
    loop.schedule(loop.now() + RUN_MICROS, loop::stop);
    loop.run();
  }

  @Test
  void nothingIsAcceptedBeforeTheStart() throws IOException {
    Acceptor acceptor = createAcceptor(CONNECTIONS, this::record);
    runBriefly();
    assertEquals(0, accepted.size());
    assertFalse(acceptor.isAccepting());
  }

  @Test
  void acceptedConnectionsAreNonBlockingWithTcpNoDelay() throws IOException {
    createAcceptor(CONNECTIONS, this::record).start();
    loop.run();
    for (SocketChannel channel : accepted) {
      assertFalse(channel.isBlocking());
      assertTrue(channel.getOption(StandardSocketOptions.TCP_NODELAY));
    }
  }

  @Test
  void oneIterationAcceptsNoMoreThanTheLimit() throws IOException {
    createAcceptor(1, this::record).start();
    loop.run();
    assertEquals(
        CONNECTIONS, acceptedAtMicros.stream().distinct().count(), acceptedAtMicros.toString());
  }

  @Test
  void acceptingResumesAfterThePause() throws IOException {
    Acceptor[] acceptor = new Acceptor[1];
    acceptor[0] =
        createAcceptor(
            CONNECTIONS,
            channel -> {
              record(channel);
              acceptor[0].pause(RUN_MICROS);
            });
    acceptor[0].start();
    loop.run();
    for (int i = 1; i < CONNECTIONS; i++) {
      assertTrue(
          acceptedAtMicros.get(i) - acceptedAtMicros.get(i - 1) >= RUN_MICROS,
          acceptedAtMicros.toString());
    }
  }

  @Test
  void aStoppedAcceptorResumesNeitherAfterAPauseNorByStart() throws IOException {
    Acceptor[] acceptor = new Acceptor[1];
    acceptor[0] =
        createAcceptor(
            CONNECTIONS,
            channel -> {
              record(channel);
              acceptor[0].pause(1);
              acceptor[0].stop();
            });
    acceptor[0].start();
    runBriefly();
    acceptor[0].start();
    assertEquals(1, accepted.size());
    assertFalse(acceptor[0].isAccepting());
    assertTrue(listener.isOpen(), "the acceptor does not close the listening socket");
  }

  @Test
  void aConnectionIsClosedIfItsHandlerFails() throws IOException {
    createAcceptor(
            CONNECTIONS,
            channel -> {
              record(channel);
              throw new IOException("cannot be served");
            })
        .start();
    loop.run();
    assertEquals(CONNECTIONS, accepted.size());
    assertTrue(accepted.stream().noneMatch(SocketChannel::isOpen));
  }
}
