package loomreel.faktory;

import com.fasterxml.jackson.databind.JsonNode;
import loomreel.faktory.protocol.Reply;
import loomreel.io.EventLoop;

/** The commands of clients that push jobs: PUSH and PUSHB. */
final class ProducerCommands {
  private final EventLoop loop;
  private final JobIntake intake;
  private final BatchLimiter batches = new BatchLimiter();

  ProducerCommands(EventLoop loop, JobIntake intake) {
    this.loop = loop;
    this.intake = intake;
  }

  /** PUSH: acknowledged once the job is durable. */
  void push(FaktoryConnection connection, JsonNode job) {
    PushResult result = intake.push(job);
    if (result instanceof PushResult.Rejected rejected) {
      connection.reply(rejected.error());
      return;
    }
    connection.beginCommand(FaktoryConnectionState.PERSISTING_PUSH);
    intake.whenDurable(result.isSynced(), () -> connection.completeCommand(Reply.OK));
  }

  /** PUSHB: the reply names the jobs that were rejected. */
  void pushBatch(FaktoryConnection connection, String text) {
    connection.beginCommand(FaktoryConnectionState.IN_BATCH);
    batches.submit(
        () -> {
          if (connection.isClosed()) {
            batches.finished();
            return;
          }
          new PushBatch(loop, intake, reply -> batchDone(connection, reply)).start(text);
        });
  }

  private void batchDone(FaktoryConnection connection, Reply reply) {
    batches.finished();
    connection.completeCommand(reply);
  }
}
