package loomreel.training;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import loomreel.standin.ExecutionLog;
import loomreel.standin.HttpWorker;
import loomreel.standin.Loopback;
import loomreel.standin.UnchangingDiscovery;

/**
 * The training run for an archive of classes (AppCDS): a configuration, discovery, a worker and a
 * client with a few jobs for a dispatcher on loopback. The JVM archives the classes that the
 * dispatcher loads meanwhile, which makes later starts quicker.
 */
public final class ClassArchiveTraining implements AutoCloseable {
  private static final int JOBS = 40;
  private static final int TIMEOUT_MS = 5000;

  /** The version of the configured endpoint list. */
  private static final int LIST_VERSION = 1;

  private final HttpWorker worker;
  private final UnchangingDiscovery discovery;
  private final InetSocketAddress listen;
  private final Path configuration;

  /** Creates everything but the dispatcher. */
  public ClassArchiveTraining() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, Loopback.address())) {
      listen = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
    }
    worker = new HttpWorker("w0", () -> listen, 4, 1, new ExecutionLog());
    discovery = new UnchangingDiscovery(LIST_VERSION);
    configuration = Files.createTempFile("loomreel", ".json");
    Files.writeString(
        configuration,
        """
        {"name":"rehearsal","listen":"127.0.0.1:%d","discovery":"%s","seed":"1",
         "limits":{"cores":1.0,"memory_mb":64,"sockets":256},
         "known":{"seq":%d,"whole":true,"hosts":[{"host":"w0","dial":"%s","site":"a","class":"m","block":0,
          "health":"SERVING","share":1.0,"born_ms":0}]},
         "settings":{"Balancers":1,"Discovery":"ask","Dcs":["a"],"HostTypes":["m"],"Locality":"a","TickS":0.004,
          "RequestClasses":[{"Name":"render","TargetS":2,"DeadlineS":4,"Repeat":"free","Value":3},
           {"Name":"record","TargetS":2,"DeadlineS":4,"Repeat":"single_shot","Value":4}],
          "Tenants":[{"Name":"t","AllowancePerS":1000,"Portion":1}],
          "PolicyLimits":{"MaxAttempts":4,"Cancelling":true,"SecondCopies":true,"Probing":true,"RetryAfter":true,
           "MaxRetryAfterS":2,"ConnectTimeoutS":0.25,"ConnIdleS":15},
          "Specifics":{"TellsStart":false},"Telemetry":{"How":"probe","Fields":["depth","concurrent","x0"]},
          "Invariants":{"StopSendingWithinS":3,"AskWithinS":1,"ColdFrom":0.2,"ColdS":20,"TipMultiple":2.5,
           "FallS":3,"AnswerSlackS":0.016}}}
        """
            .formatted(listen.getPort(), discovery.address(), LIST_VERSION, worker.address()));
  }

  /** The configuration file that the dispatcher is to be started with. */
  public Path configuration() {
    return configuration;
  }

  /**
   * Submits the jobs one after the other, each after the response to the one before.
   *
   * @return how many were served
   */
  public int submitJobs() {
    int served = 0;
    for (int i = 0; i < JOBS; i++) {
      try {
        HttpURLConnection call =
            (HttpURLConnection)
                new URL(
                        "http",
                        listen.getHostString(),
                        listen.getPort(),
                        i % 2 == 0 ? "/render" : "/record")
                    .openConnection();
        call.setDoOutput(true);
        call.setConnectTimeout(TIMEOUT_MS);
        call.setReadTimeout(TIMEOUT_MS);
        call.setRequestProperty("X-Call-Id", String.format("%016x", i + 1));
        call.setRequestProperty("X-Caller", "t");
        call.setRequestProperty("X-Route-Hash", String.format("%016x", i % 7));
        call.setRequestProperty("X-Budget-Ms", "5000");
        call.setRequestProperty("X-Call-Cost", "1000");
        call.getOutputStream().write(new byte[200]);
        served += call.getResponseCode() == 200 ? 1 : 0;
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
    return served;
  }

  @Override
  public void close() throws IOException {
    worker.close();
    discovery.close();
    Files.deleteIfExists(configuration);
  }
}
