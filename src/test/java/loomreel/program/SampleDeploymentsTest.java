package loomreel.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import loomreel.program.harness.DispatcherHarness;
import loomreel.program.harness.HttpMessage;
import loomreel.program.harness.StepControlledServer;
import loomreel.program.harness.StubHttpServer;
import loomreel.program.harness.SubmittedJob;
import loomreel.program.harness.TestConfiguration;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Verifies that the dispatcher takes the request classes, their names and the limits from the
 * settings alone. The tests use the project's own sample deployments. Their request classes, class
 * names and limits differ from those of the operators' deployments.
 */
@Timeout(120)
class SampleDeploymentsTest {
  /**
   * Returns the arguments of the tests: for each request class of each deployment, the name of the
   * deployment and the index of the class.
   */
  static Stream<Arguments> classes() throws IOException {
    List<Arguments> argumentsOfClasses = new ArrayList<>();
    for (String deploymentName : new String[] {"gentle", "tight"}) {
      for (int i = 0; i < new SampleDeployment(deploymentName).classes().size(); i++) {
        argumentsOfClasses.add(Arguments.of(deploymentName, i));
      }
    }
    return argumentsOfClasses.stream();
  }

  /**
   * A job that a worker has received.
   *
   * @param worker the index of the worker
   * @param post the request with the job
   */
  private record ReceivedJob(int worker, HttpMessage post) {
    /** Waits until any worker receives a job. Responds to the health checks that arrive before. */
    static ReceivedJob awaitNext(DispatcherHarness harness) throws Exception {
      while (true) {
        int worker = harness.awaitWorkerWithRequest();
        HttpMessage request = harness.worker(worker).nextRequest();
        if (request.startLine().startsWith("POST")) {
          return new ReceivedJob(worker, request);
        }
        request.respond(200, "TEXT inflight=0, queue=0, util=0.1, x0=4");
      }
    }
  }

  @ParameterizedTest
  @MethodSource("classes")
  void aJobOfEachClassIsServed(String deploymentName, int classIndex) throws Exception {
    SampleDeployment deployment = new SampleDeployment(deploymentName);
    JsonNode requestClass = deployment.classes().get(classIndex);
    try (StepControlledServer server = start(deployment)) {
      SubmittedJob job = submit(server, requestClass, "key");
      ReceivedJob received = ReceivedJob.awaitNext(server);

      assertEquals("key", received.post.header("Idempotency-Key"));
      assertServed(server, job, received, deploymentName);
      assertFalse(server.workers().stream().anyMatch(StubHttpServer::hasPendingJob));
    }
  }

  /**
   * The {@code effect} of a request class in the deployment's file says whether a job of the class
   * may run twice. A job of a class with the effect {@code unsafe} is not retried after a reset.
   */
  @ParameterizedTest
  @MethodSource("classes")
  void aJobIsRetriedAfterAResetIfItsClassAllowsIt(String deploymentName, int classIndex)
      throws Exception {
    SampleDeployment deployment = new SampleDeployment(deploymentName);
    JsonNode requestClass = deployment.classes().get(classIndex);
    try (StepControlledServer server = start(deployment)) {
      serveOneJob(server, requestClass, deploymentName);
      SubmittedJob job = submit(server, requestClass, "key");
      ReceivedJob first = ReceivedJob.awaitNext(server);
      assertEquals("key", first.post.header("Idempotency-Key"));

      first.post.connection().close();

      if (requestClass.get("effect").asText().equals("unsafe")) {
        assertEquals(500, job.response().status());
      } else {
        ReceivedJob second = ReceivedJob.awaitNext(server);
        assertTrue(second.worker != first.worker, "the retry is sent to another worker");
        assertServed(server, job, second, deploymentName);
      }
      assertFalse(server.workers().stream().anyMatch(StubHttpServer::hasPendingJob));
    }
  }

  @ParameterizedTest
  @MethodSource("classes")
  void aJobOfAnUnknownClassIsAnsweredWith404(String deploymentName, int classIndex)
      throws Exception {
    SampleDeployment deployment = new SampleDeployment(deploymentName);
    JsonNode requestClass = deployment.classes().get(classIndex);
    try (StepControlledServer server = start(deployment)) {
      serveOneJob(server, requestClass, deploymentName);

      SubmittedJob jobOfUnknownClass = server.submit("/copy", "");

      assertEquals(404, jobOfUnknownClass.response().status());
      assertFalse(server.workers().stream().anyMatch(StubHttpServer::hasPendingJob));
    }
  }

  private static StepControlledServer start(SampleDeployment deployment) throws Exception {
    return new StepControlledServer(
        3, new TestConfiguration().deploymentSettings(deployment.settings()));
  }

  /** Submits a job of a request class with an idempotency key. */
  private static SubmittedJob submit(DispatcherHarness harness, JsonNode requestClass, String key)
      throws IOException {
    return harness.submitWithKey("/" + requestClass.get("name").asText() + "/1", key);
  }

  /** Submits a job of a request class and has a worker complete the job. */
  private static void serveOneJob(DispatcherHarness harness, JsonNode requestClass, String result)
      throws Exception {
    SubmittedJob job = submit(harness, requestClass, "first-key");
    assertServed(harness, job, ReceivedJob.awaitNext(harness), result);
  }

  /**
   * Accepts and completes a job as the worker that has received the job, and checks that the client
   * gets the result.
   */
  private static void assertServed(
      DispatcherHarness harness, SubmittedJob job, ReceivedJob received, String result)
      throws IOException {
    assertEquals(job.id(), received.post.header("X-Call-Id"));
    received.post.respond(202, "");
    assertEquals(200, harness.reportDone(job.id(), "w" + received.worker, result));
    assertEquals(result, job.response().body());
  }
}
