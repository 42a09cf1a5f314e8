package loomreel.chaos;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.SplittableRandom;
import loomreel.standin.FaktoryWorker;

/**
 * Injects faults into a chaos run, one after another, until its thread is interrupted: kills
 * workers, quiets them, disables them, and cuts clients' connections. Which and when is drawn from
 * a seed.
 */
final class FaultInjector {
  /** No new jobs may be sent after this time since operators disabled a worker. */
  private static final long DISABLE_GRACE_MS = 3000;

  private static final int MIN_PAUSE_MS = 100;
  private static final int PAUSE_SPREAD_MS = 500;
  private static final int KINDS_OF_FAULTS = 5;
  private static final int MIN_HTTP_RESTART_MS = 100;
  private static final int HTTP_RESTART_SPREAD_MS = 600;
  private static final int FAKTORY_RESTART_SPREAD_MS = 500;
  private static final long QUIET_MS = 1000;
  private static final int MIN_DISABLED_MS = 200;
  private static final int DISABLED_SPREAD_MS = 4000;

  private final SplittableRandom random;
  private final HttpClient http;
  private final InetSocketAddress adminServer;
  private final ChaosWorkers workers;
  private final List<ChaosFaktoryClient> clients;
  private final ChaosFindings findings;

  /**
   * Creates an injector.
   *
   * @param http shared with the clients; its owner is the run
   */
  FaultInjector(
      long seed,
      HttpClient http,
      InetSocketAddress adminServer,
      ChaosWorkers workers,
      List<ChaosFaktoryClient> clients,
      ChaosFindings findings) {
    random = new SplittableRandom(seed);
    this.http = http;
    this.adminServer = adminServer;
    this.workers = workers;
    this.clients = clients;
    this.findings = findings;
  }

  /** Injects faults until the thread is interrupted. */
  void run() {
    try {
      while (true) {
        Thread.sleep(MIN_PAUSE_MS + random.nextInt(PAUSE_SPREAD_MS));
        inject(random.nextInt(ChaosWorkers.OF_EACH_KIND));
      }
    } catch (InterruptedException e) {
      // The run is over.
    } catch (IOException e) {
      findings.violation("the fault injector ended: " + e);
    }
  }

  private void inject(int worker) throws IOException, InterruptedException {
    switch (random.nextInt(KINDS_OF_FAULTS)) {
      case 0 -> killHttpWorker(worker);
      case 1 -> killFaktoryWorker(worker);
      case 2 -> quietFaktoryWorker(worker);
      case 3 -> cutClientConnection();
      default -> disableHttpWorker(worker);
    }
  }

  private void killHttpWorker(int worker) throws IOException, InterruptedException {
    findings.faultInjected("HTTP worker killed");
    workers.http(worker).close();
    Thread.sleep(MIN_HTTP_RESTART_MS + random.nextInt(HTTP_RESTART_SPREAD_MS));
    workers.http(worker).restart();
  }

  private void killFaktoryWorker(int worker) throws InterruptedException {
    findings.faultInjected("Faktory worker killed");
    workers.faktory(worker).close();
    Thread.sleep(random.nextInt(FAKTORY_RESTART_SPREAD_MS));
    workers.replaceFaktory(worker);
  }

  private void quietFaktoryWorker(int worker) throws InterruptedException {
    findings.faultInjected("Faktory worker quieted");
    FaktoryWorker quiet = workers.faktory(worker);
    quiet.quiet();
    workers.replaceFaktory(worker);
    Thread.sleep(QUIET_MS);
    quiet.close();
  }

  private void cutClientConnection() throws IOException {
    if (clients.get(random.nextInt(clients.size())).cutConnection()) {
      findings.faultInjected("client's connection cut");
    }
  }

  private void disableHttpWorker(int worker) throws IOException, InterruptedException {
    findings.faultInjected("HTTP worker disabled by operators");
    callAdminServer("down", ChaosWorkers.httpId(worker));
    workers.http(worker).expectNoJobsAfterMillis(DISABLE_GRACE_MS);
    Thread.sleep(MIN_DISABLED_MS + random.nextInt(DISABLED_SPREAD_MS));
    workers.http(worker).expectJobs();
    callAdminServer("up", ChaosWorkers.httpId(worker));
  }

  private void callAdminServer(String operation, String worker)
      throws IOException, InterruptedException {
    URI uri =
        URI.create("http://127.0.0.1:" + adminServer.getPort() + "/ops/copy-workers/" + operation);
    HttpRequest request =
        HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.ofString(worker)).build();
    int status = http.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    if (status != 200) {
      throw new IOException(operation + " " + worker + " was answered with status " + status);
    }
  }
}
