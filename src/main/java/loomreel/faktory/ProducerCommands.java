package loomreel.faktory;

import loomreel.faktory.protocol.CommandLine;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.io.EventLoop;

/** The commands of clients that push jobs: PUSH and PUSHB. */
final class ProducerCommands {
  private final EventLoop loop;
  private final JobIntake intake;
  private final CommandLimits limits;
  private final BatchLimiter batches;

  ProducerCommands(EventLoop loop, JobIntake intake, CommandLimits limits) {
    this.loop = loop;
    this.intake = intake;
    this.limits = limits;
    batches = new BatchLimiter(limits.maxBatchBytes());
  }

  /**
   * PUSH: acknowledged once the job is durable.
   *
   * @throws Json.MalformedException if the job is not JSON
   */
  void push(FaktoryConnection connection, String job) throws Json.MalformedException {
    if (job.length() > CommandLimits.MAX_JOB_TEXT_BYTES) {
      connection.reply(JobIntake.JOB_TOO_LONG);
      return;
    }
    PushResult result = intake.push(Json.read(job));
    if (result instanceof PushResult.Rejected rejected) {
      connection.reply(rejected.error());
      return;
    }
    connection.beginCommand(FaktoryConnectionState.PERSISTING_PUSH);
    intake.whenDurable(result.isSynced(), () -> connection.completeCommand(Reply.OK));
  }

  /**
   * PUSHB: the reply names the jobs that were rejected. Until it is its turn, the command stays in
   * the connection's buffers.
   */
  void pushBatch(FaktoryConnection connection, CommandLine command) {
    int bytes = command.length();
    connection.beginCommand(FaktoryConnectionState.IN_BATCH);
    connection.hold(command);
    batches.submit(bytes, () -> startBatch(connection, command, bytes));
  }

  private void startBatch(FaktoryConnection connection, CommandLine command, int bytes) {
    if (!connection.takeHeld(command)) {
      batches.finished(bytes);
      return;
    }
    PushBatch batch =
        new PushBatch(
            loop,
            intake,
            limits.maxBatchJobs(),
            reply -> {
              batches.finished(bytes);
              connection.completeCommand(reply);
            });
    batch.start(command.takeBytes());
  }
}
