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
 * Reloads the configuration while the process runs, for example after SIGHUP.
 *
 * <p>Only the address of discovery, the service that provides the endpoint list, can change without
 * a restart. A new configuration is rejected as a whole in two cases:
 *
 * <ul>
 *   <li>The configuration cannot be read.
 *   <li>It differs from the initial configuration in a setting that cannot change without a
 *       restart. {@link ServeConfig#changesRequiringRestart} and the caller determine these
 *       settings. The whole configuration is rejected in this case, because it may be meant for
 *       another installation.
 * </ul>
 *
 * <p>All other differences, for example a different seed, are ignored. Applied and rejected
 * configurations are counted in the metrics.
 *
 * <p>Unless stated otherwise, a method may be called on any thread. Its work is done on the event
 * loop's thread.
 */
public final class ConfigReloader {
  private final RateLimitedLogger log = new RateLimitedLogger("loomreel.server");
  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final HttpWorkerPool workers;

  /** The configuration at the start of the process. Later configurations are compared with it. */
  private final ServeConfig initial;

  ConfigReloader(Dispatcher dispatcher, HttpWorkerPool workers, ServeConfig initial) {
    this.loop = dispatcher.loop();
    this.dispatcher = dispatcher;
    this.workers = workers;
    this.initial = initial;
  }

  /**
   * Reads the platform's configuration again, and applies or rejects the result.
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
   * @param otherChanges the names of further settings that have changed and that {@link
   *     ServeConfig#changesRequiringRestart} does not compare. If the list is not empty, the
   *     configuration is rejected, because these settings cannot change without a restart.
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
   * @param reason the reason of the rejection, which is logged
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
   * Changes the address of discovery, from which the endpoint list is requested. Must be called on
   * the event loop's thread.
   */
  public void moveDiscovery(InetSocketAddress address) {
    workers.moveDiscovery(address);
  }

  private void recordRejection(String reason) {
    dispatcher.metrics().recordReload(false);
    log.warn("configuration reload rejected, the old configuration stays reason=" + reason);
  }
}
