package review2;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The platform's configuration of one dispatcher, with the settings of a site of the kit. */
final class Deployment {
  private final ObjectNode root = Kit.object();
  private final ObjectNode settings;

  private Deployment(String zone) {
    root.put("name", "n0").put("seed", "8c1f30d27a5be964");
    root.putObject("limits").put("cores", 1.0).put("memory_mb", 192).put("sockets", 1024);
    settings = root.putObject("settings");
    settings.put("Balancers", 1).put("Locality", zone).put("TickS", 0.004);
  }

  /** The settings of {@code arq-copies}, for one dispatcher. */
  static Deployment arqCopies() {
    Deployment it = new Deployment("montreal");
    it.settings.put("Discovery", "ask").put("Weights", "rough");
    it.settings.putObject("Callers").put("MarksRetry", false);
    it.settings.putObject("Telemetry").put("How", "probe");
    it.addClass("copy", 0.2, 5, "free", "all", 5);
    it.addClass("issue", 0.2, 2, "single_shot", "all", 5);
    ObjectNode specifics = it.settings.putObject("Specifics");
    specifics.put("TellsStart", false).put("ProgressS", 1.0);
    specifics.putArray("ClassStretch").add(2.5).add(1.75);
    specifics.putArray("ClassPriority").add(1).add(0);
    it.tenants(List.of("montreal-office", "capitale-office"));
    it.limits(4, 0.25, 15, 2.0, true);
    it.rules(3, 0.14, 24, 2.5, 3);
    return it;
  }

  /** The settings of {@code fukuoka-booking}, for one dispatcher. */
  static Deployment fukuokaBooking(String group) {
    Deployment it = new Deployment("fukuoka-hakata");
    it.settings.put("Discovery", "push").put("Weights", "live");
    it.settings.putObject("Callers").put("MarksRetry", true);
    it.settings.putObject("Telemetry").put("How", "answers");
    it.addClass("slot-hold", 0.3, 3, "guarded", group, 7.5);
    it.addClass("slot-confirm", 0.3, 10, "single_shot", "all", 5);
    ObjectNode specifics = it.settings.putObject("Specifics");
    specifics.put("TellsStart", true).put("ProgressS", 1.0);
    specifics.putArray("ClassStretch").add(1.75).add(1.75);
    specifics.putArray("ClassPriority").add(0).add(1);
    it.tenants(List.of("hakata-travel", "tenjin-visa"));
    it.limits(5, 0.12, 10, 2.0, true);
    it.rules(0.5, 0.12, 24, 3, 2);
    return it;
  }

  Deployment name(String name) {
    root.put("name", name);
    return this;
  }

  Deployment dispatchers(int count) {
    settings.put("Balancers", count);
    return this;
  }

  private void addClass(
      String name, double target, double value, String repeat, String group, double window) {
    settings
        .withArray("RequestClasses")
        .addObject()
        .put("Name", name)
        .put("TargetS", target)
        .put("DeadlineS", 5.0)
        .put("Value", value)
        .put("LateValue", 0.0)
        .put("Streaming", false)
        .put("Repeat", repeat)
        .put("Group", group)
        .put("WindowS", window);
  }

  private void tenants(List<String> names) {
    ArrayNode tenants = settings.putArray("Tenants");
    names.forEach(
        name -> tenants.addObject().put("Name", name).put("AllowancePerS", 90).put("Portion", 0.5));
  }

  private void limits(
      int attempts, double connectTimeout, double idle, double retryAfter, boolean probing) {
    settings
        .putObject("PolicyLimits")
        .put("MaxAttempts", attempts)
        .put("Cancelling", true)
        .put("SecondCopies", true)
        .put("Probing", probing)
        .put("RetryAfter", true)
        .put("MaxRetryAfterS", retryAfter)
        .put("ConnectTimeoutS", connectTimeout)
        .put("ConnIdleS", idle)
        .put("Peers", false)
        .put("StreamsPerConn", 1);
  }

  private void rules(double grace, double coldFrom, double cold, double tip, double fall) {
    settings
        .putObject("Invariants")
        .put("StopSendingWithinS", grace)
        .put("AskWithinS", 10)
        .put("ColdFrom", coldFrom)
        .put("ColdS", cold)
        .put("TipMultiple", tip)
        .put("FallS", fall)
        .put("AnswerSlackS", 0.016);
  }

  /** Sets the addresses and the known list, and writes the file. */
  Path write(Path file, int listen, Discovery discovery) throws IOException {
    root.put("listen", "127.0.0.1:" + listen);
    root.put("discovery", "127.0.0.1:" + discovery.port());
    root.set("known", discovery.wholeList());
    Files.writeString(file, root.toString());
    return file;
  }
}
