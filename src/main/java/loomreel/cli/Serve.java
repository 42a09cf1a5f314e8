package loomreel.cli;

import java.io.IOException;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.server.Server;
import loomreel.ops.OpsServer;
import picocli.CommandLine.Command;
import sun.misc.Signal;

/** The real dispatcher, in the foreground. */
@Command(name = "serve", description = "Serves until SIGTERM, then until empty. Configured by "
        + "BALANCER_CONFIG, which SIGHUP has read again.")
final class Serve implements Callable<Integer> {
    @Override
    public Integer call() {
        Server server;
        try {
            ServeConfig config = ServeConfig.read(System.getenv());
            server = new Server(config);
            if (config.operators() != null) {
                new OpsServer(server.loop(), config.operators(), server);
            }
        } catch (ConfigException e) {
            System.err.println("loomreel: " + e.getMessage());
            return 2;
        } catch (IOException e) {
            System.err.println("loomreel: cannot listen: " + e.getMessage());
            return 1;
        }
        // Left to itself the JVM ends on SIGHUP as it does on SIGTERM.
        Signal.handle(new Signal("HUP"), signal -> server.reload(System.getenv()));
        CountDownLatch done = new CountDownLatch(1);
        // The JVM ends when its hooks have ended: this one holds it until all that was taken is served.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            server.drain();
            try {
                done.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }, "drain"));
        try {
            server.run();
            return 0;
        } catch (IOException e) {
            System.err.println("loomreel: " + e.getMessage());
            return 1;
        } finally {
            done.countDown();
        }
    }
}
