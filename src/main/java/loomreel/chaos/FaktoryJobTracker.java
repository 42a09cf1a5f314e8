package loomreel.chaos;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import loomreel.standin.ExecutionLog;
import loomreel.standin.FaktoryClient;

/** Waits until the Faktory jobs of a chaos run have ended, and checks their final states. */
final class FaktoryJobTracker {
  /** How long after the last job all must have ended. */
  private static final int TIMEOUT_SECONDS = 90;

  private static final long POLL_INTERVAL_MS = 100;
  private static final Set<String> FINAL_STATES =
      Set.of("success", "dead", "expired", "cancelled", "unknown");

  private final FaktoryClient client;
  private final ExecutionLog executions;
  private final ChaosFindings findings;

  FaktoryJobTracker(FaktoryClient client, ExecutionLog executions, ChaosFindings findings) {
    this.client = client;
    this.executions = executions;
    this.findings = findings;
  }

  /** Polls the daemon until each job has a final state, or it is too late for that. */
  void awaitAll(Collection<String> jobIds) throws IOException, InterruptedException {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    Set<String> open = new LinkedHashSet<>(jobIds);
    if (open.size() != jobIds.size()) {
      findings.violation("the run itself pushed a job id twice");
    }
    while (!open.isEmpty() && System.nanoTime() < deadlineNanos) {
      for (String jobId : List.copyOf(open)) {
        JsonNode state = state(jobId);
        if (FINAL_STATES.contains(state.path("state").asText())) {
          open.remove(jobId);
          check(ChaosRun.serial(jobId), state);
        }
      }
      Thread.sleep(open.isEmpty() ? 0 : POLL_INTERVAL_MS);
    }
    for (String jobId : open) {
      findings.violation(jobId + " has no end: " + state(jobId));
    }
  }

  private JsonNode state(String jobId) throws IOException {
    return client.callForJson("TRACK GET " + jobId);
  }

  private void check(String serial, JsonNode state) {
    String end = state.path("state").asText();
    boolean mayHaveRun = state.path("may_have_run").asBoolean();
    findings.jobEnded(
        "Faktory", ChaosJobClass.ofSerial(serial), mayHaveRun ? end + ", may have run" : end);
    int runs = executions.executions(serial);
    switch (end) {
      case "success" -> {
        if (runs == 0 || !state.path("result").asText().equals("made " + serial)) {
          findings.violation(serial + " succeeded with a foreign result: " + state);
        }
      }
      case "dead" -> {
        if (runs > 0 && !mayHaveRun) {
          findings.violation(serial + " ran, and its end denies it: " + state);
        }
      }
      case "unknown", "cancelled" -> findings.violation(serial + " is " + end);
      default -> {}
    }
  }
}
