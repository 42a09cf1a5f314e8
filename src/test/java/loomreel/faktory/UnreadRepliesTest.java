package loomreel.faktory;

import static loomreel.faktory.ProtocolHarness.ack;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.InputStream;
import java.net.HttpURLConnection;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.net.URL;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import loomreel.faktory.protocol.Handshake;
import loomreel.standin.FaktoryClient;
import loomreel.standin.RespReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.RegisterExtension;

/** Clients and workers that do not read what the daemon sends. */
@Timeout(120)
class UnreadRepliesTest {
  @RegisterExtension private static final ProtocolHarness HARNESS = new ProtocolHarness();
  private static final int JOBS = 120;
  private static final byte[] FETCH_LINE = "FETCH renewals\r\n".getBytes(StandardCharsets.UTF_8);
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final HttpClient HTTP =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

  /** A job whose last byte has been written may have run; the others run elsewhere. */
  @Test
  void jobsThatAreNotWrittenCompletelyRunOnAnotherWorker() throws Exception {
    List<CompletableFuture<HttpResponse<String>>> responses = new ArrayList<>();
    Socket unread = new Socket();
    try (FaktoryClient other = HARNESS.worker("reads")) {
      connectWithSmallBuffer(unread);
      for (int i = 0; i < JOBS; i++) {
        responses.add(sendRequest(i));
        unread.getOutputStream().write(FETCH_LINE);
      }
      awaitNoFurtherCommands();

      other.send("FETCH renewals");
      Thread.sleep(50);
      unread.close();
      serveUntilAllAreAnswered(other, responses);

      long served = countStatus(responses, 200);
      long failed = countStatus(responses, 500);
      assertEquals(JOBS, served + failed);
      assertTrue(failed > 0, "jobs that were written completely must not run again");
      assertTrue(served > 0, "jobs that were not written completely run elsewhere");
    } finally {
      unread.close();
    }
  }

  /** Sends HELLO as a worker with many slots, and one FETCH, which lists the worker. */
  private static void connectWithSmallBuffer(Socket socket) throws IOException {
    socket.setReceiveBufferSize(4096);
    socket.connect(HARNESS.faktory());
    InputStream in = socket.getInputStream();
    JsonNode hi = JSON.readTree(RespReader.read(in).toString().substring("HI ".length()));
    String hash =
        Handshake.hash(ProtocolHarness.PASSWORD, hi.path("s").asText(), hi.path("i").asInt());
    String hello =
        "HELLO {\"v\":2,\"wid\":\"never-reads\",\"labels\":[\"slots=400\"],\"pwdhash\":\""
            + hash
            + "\"}\r\nFETCH renewals\r\n";
    socket.getOutputStream().write(hello.getBytes(StandardCharsets.UTF_8));
    assertEquals("OK", RespReader.read(in));
    assertNull(RespReader.read(in));
  }

  private static CompletableFuture<HttpResponse<String>> sendRequest(int number) {
    return HTTP.sendAsync(
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + HARNESS.http().getPort() + "/issue/x"))
            .header("X-Call-Id", String.format("%016x", 0xabc000 + number))
            .header("X-Budget-Ms", "20000")
            .POST(HttpRequest.BodyPublishers.ofString("x".repeat(60_000)))
            .build(),
        HttpResponse.BodyHandlers.ofString());
  }

  /** Until the buffers of the sockets are full, and the daemon reads no more commands there. */
  private static void awaitNoFurtherCommands() throws Exception {
    try (FaktoryClient client = HARNESS.client()) {
      int before = -1;
      for (int unchanged = 0; unchanged < 30; ) {
        int now = client.callForJson("INFO").path("server").path("command_count").asInt();
        unchanged = now - before <= 1 ? unchanged + 1 : 0;
        before = now;
        Thread.sleep(20);
      }
    }
  }

  private static void serveUntilAllAreAnswered(
      FaktoryClient worker, List<CompletableFuture<HttpResponse<String>>> responses)
      throws IOException {
    while (responses.stream().anyMatch(response -> !response.isDone())) {
      Object job = worker.read();
      if (job != null) {
        worker.callExpectingOk(ack(JSON.readTree((String) job)));
      }
      worker.send("FETCH renewals");
    }
  }

  private static long countStatus(
      List<CompletableFuture<HttpResponse<String>>> responses, int status) {
    return responses.stream().filter(response -> response.join().statusCode() == status).count();
  }

  /** Many connections send nothing, and one reads no replies: others are accepted and served. */
  @Test
  void silentConnectionsAndUnreadRepliesDoNotAffectOthers() throws Exception {
    List<Socket> silent = new ArrayList<>();
    try {
      for (int i = 0; i < 300; i++) {
        silent.add(HARNESS.connect());
      }
      try (FaktoryClient flooding = HARNESS.client();
          FaktoryClient link = HARNESS.client()) {
        flooding.socket().setSoTimeout(100);
        CompletableFuture<Void> flood =
            CompletableFuture.runAsync(
                () -> {
                  try {
                    for (int i = 0; i < 200_000; i++) {
                      flooding.send("INFO");
                    }
                  } catch (IOException e) {
                    // The daemon has closed it, as it reads no replies.
                  }
                });
        for (int i = 0; i < 50; i++) {
          link.callForJson("INFO");
        }
        HttpURLConnection ready =
            (HttpURLConnection)
                new URL("http", "127.0.0.1", HARNESS.http().getPort(), "/health/ready")
                    .openConnection();
        assertEquals(200, ready.getResponseCode());
        flood.join();
        int used = link.callForJson("INFO").path("server").path("connections").asInt();
        assertTrue(used <= ProtocolHarness.MAX_CONNECTIONS, used + " connections");
      } catch (SocketTimeoutException e) {
        throw new AssertionError("another client had to wait", e);
      }
    } finally {
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }
}
