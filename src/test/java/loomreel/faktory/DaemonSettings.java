package loomreel.faktory;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import loomreel.standin.DaemonProcess;

/** Builds the settings file of a daemon that listens for Faktory on a free port. */
final class DaemonSettings {
  private static final String LATENCY_TARGET_AND_DEADLINE = "target: \"20s\", deadline: \"20s\"";
  private final List<String> classes = new ArrayList<>();
  private final List<String> queues = new ArrayList<>();
  private final List<String> httpWorkers = new ArrayList<>();
  private final List<String> rules = new ArrayList<>();
  private String memory;
  private final List<String> faktory = new ArrayList<>();

  /** Adds a request class, with its value of {@code repeat}. */
  DaemonSettings withClass(String name, String repeat) {
    classes.add("%s: {repeat: \"%s\", %s}".formatted(name, repeat, LATENCY_TARGET_AND_DEADLINE));
    return this;
  }

  /** Adds a request class that only workers of one kind serve. */
  DaemonSettings withClass(String name, String repeat, String kind) {
    classes.add(
        "%s: {repeat: \"%s\", %s, kind: \"%s\"}"
            .formatted(name, repeat, LATENCY_TARGET_AND_DEADLINE, kind));
    return this;
  }

  /** Adds a request class with its latency target and deadline, such as {@code 2s}. */
  DaemonSettings withClass(String name, String repeat, String target, String deadline) {
    classes.add(
        "%s: {repeat: \"%s\", target: \"%s\", deadline: \"%s\"}"
            .formatted(name, repeat, target, deadline));
    return this;
  }

  /** Adds a queue whose jobs belong to a class. */
  DaemonSettings withQueue(String name, String className) {
    queues.add("%s: class: \"%s\"".formatted(name, className));
    return this;
  }

  /** Adds a worker that is called over HTTP. */
  DaemonSettings withHttpWorker(String id, String address) {
    httpWorkers.add("%s: address: \"%s\"".formatted(id, address));
    return this;
  }

  /** Sets a rule to a CUE value. */
  DaemonSettings withRule(String key, String value) {
    rules.add(key + ": " + value);
    return this;
  }

  /** Sets a field of the Faktory section to a CUE value. */
  DaemonSettings withFaktory(String key, String value) {
    faktory.add(key + ": " + value);
    return this;
  }

  /** Sets a field of the Faktory section to a string. */
  DaemonSettings withFaktoryText(String key, String text) {
    return withFaktory(key, "\"" + text + "\"");
  }

  /** Sets the memory that the daemon may use, such as {@code 192MiB}. */
  DaemonSettings withMemory(String size) {
    memory = size;
    return this;
  }

  /** Writes the file, which is deleted when the test run ends. */
  Path write() throws IOException {
    List<String> sections = new ArrayList<>();
    sections.add("name: \"t\"");
    sections.add("listen: {http: \"127.0.0.1:0\", operators: \"127.0.0.1:0\"}");
    if (memory != null) {
      sections.add("limits: memory: \"" + memory + "\"");
    }
    addSection(sections, "workers", httpWorkers);
    addSection(sections, "classes", classes);
    addSection(sections, "rules", rules);
    List<String> faktorySection = new ArrayList<>();
    faktorySection.add("listen: \"127.0.0.1:0\"");
    addSection(faktorySection, "queues", queues);
    faktorySection.addAll(faktory);
    addSection(sections, "faktory", faktorySection);
    return DaemonProcess.writeSettings(String.join("\n", sections) + "\n");
  }

  private static void addSection(List<String> sections, String name, List<String> fields) {
    if (!fields.isEmpty()) {
      sections.add(name + ": {\n" + String.join("\n", fields) + "\n}");
    }
  }
}
