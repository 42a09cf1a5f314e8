package loomreel.server;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import loomreel.config.ConfigException;
import loomreel.config.ServeConfig;
import loomreel.config.ServeConfigReader;
import loomreel.core.Dispatcher;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.upstream.HttpWorkerPool;

/**
 * Applies a configuration that is read again, for example after SIGHUP. Only discovery's address
 * can change while the process runs. A configuration that cannot be read, or that changes anything
 * else, may belong to another installation, so it is rejected as a whole and counted.
 *
 * <p>Unless a method says otherwise, it may be called on any thread, and its work is done on the
 * event loop's thread.
 */
public final class ConfigReloader {
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.server");
  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final HttpWorkerPool workers;

  /** The configuration at the start of the process, with which later ones are compared. */
  private final ServeConfig initial;

  ConfigReloader(Dispatcher dispatcher, HttpWorkerPool workers, ServeConfig initial) {
    this.loop = dispatcher.loop();
    this.dispatcher = dispatcher;
    this.workers = workers;
    this.initial = initial;
  }

  /**
   * Reads the platform's configuration again, and applies or rejects it.
   *
   * @param environment the environment variables of the process
   */
  public void reload(Map<String, String> environment) {
    loop.execute(
        () -> {
          try {
            ServeConfig next = ServeConfigReader.reread(environment);
            apply(next, next.changesRequiringRestart(initial));
          } catch (ConfigException e) {
            recordRejection(e.getMessage());
          }
        });
  }

  /**
   * Applies or rejects a configuration that the caller has read again.
   *
   * @param otherChanges the names of changed fields which {@code next} does not contain and which
   *     require a restart
   */
  public void reload(ServeConfig next, List<String> otherChanges) {
    loop.execute(
        () -> {
          List<String> changes = new ArrayList<>(next.changesRequiringRestart(initial));
          changes.addAll(otherChanges);
          apply(next, changes);
        });
  }

  /**
   * Counts and logs the rejection of a configuration that the caller could not read.
   *
   * @param reason the reason, for the log
   */
  public void reject(String reason) {
    loop.execute(() -> recordRejection(reason));
  }

  private void apply(ServeConfig next, List<String> changesRequiringRestart) {
    if (!changesRequiringRestart.isEmpty()) {
      recordRejection("restart required to change " + String.join(", ", changesRequiringRestart));
      return;
    }
    dispatcher.metrics().recordReload(true);
    log.info("configuration reloaded discovery=" + next.discoveryAddress());
    if (next.discoveryAddress() != null) {
      moveDiscovery(next.discoveryAddress());
    }
  }

  /**
   * Watches the endpoint list at another address from now on. Must be called on the event loop's
   * thread.
   */
  public void moveDiscovery(InetSocketAddress address) {
    workers.moveDiscovery(address);
  }

  private void recordRejection(String reason) {
    dispatcher.metrics().recordReload(false);
    log.warn("configuration reload rejected, the old configuration stays reason=" + reason);
  }
}
