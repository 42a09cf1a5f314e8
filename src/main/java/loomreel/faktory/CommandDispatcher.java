package loomreel.faktory;

import loomreel.faktory.protocol.CommandLine;
import loomreel.faktory.protocol.Handshake;
import loomreel.faktory.protocol.Json;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.worker.FaktoryWorkerPool;
import loomreel.io.RateLimitedLogger;
import loomreel.settings.FaktorySettings;

/** Reads a command line of a connection and passes it to the handler of its family. */
final class CommandDispatcher {
  private static final String BATCH_VERB = "PUSHB";

  private final FaktorySettings settings;
  private final CommandLimits limits;
  private final FaktoryWorkerPool workers;
  private final ProducerCommands producers;
  private final ConsumerCommands consumers;
  private final TrackCommands tracking;
  private final AdminCommands admin;
  private final IngressReport report;
  private final RateLimitedLogger log;

  CommandDispatcher(
      FaktorySettings settings,
      CommandLimits limits,
      FaktoryWorkerPool workers,
      ProducerCommands producers,
      ConsumerCommands consumers,
      TrackCommands tracking,
      AdminCommands admin,
      IngressReport report,
      RateLimitedLogger log) {
    this.settings = settings;
    this.limits = limits;
    this.workers = workers;
    this.producers = producers;
    this.consumers = consumers;
    this.tracking = tracking;
    this.admin = admin;
    this.report = report;
    this.log = log;
  }

  /** Carries out a command; its reply follows at once or later, before the next command's. */
  void dispatch(FaktoryConnection connection, CommandLine command) {
    report.commandReceived();
    if (connection.state() != FaktoryConnectionState.AWAITING_HELLO) {
      if (command.hasVerb(BATCH_VERB)) {
        producers.pushBatch(connection, command);
        return;
      }
      if (command.length() > limits.maxSingleBytes()) {
        command.release();
        connection.reply(Reply.error("a command of over " + limits.maxSingleBytes() + " bytes"));
        return;
      }
    }
    dispatch(connection, command.takeText());
  }

  private void dispatch(FaktoryConnection connection, String line) {
    int space = line.indexOf(' ');
    String verb = space < 0 ? line : line.substring(0, space);
    String arguments = space < 0 ? "" : line.substring(space + 1).strip();
    if (connection.state() == FaktoryConnectionState.AWAITING_HELLO) {
      authenticate(connection, verb, arguments);
      return;
    }
    try {
      dispatch(connection, verb, arguments);
    } catch (Json.MalformedException e) {
      connection.reply(Reply.error(e.getMessage()));
    }
  }

  private void dispatch(FaktoryConnection connection, String verb, String arguments)
      throws Json.MalformedException {
    switch (verb) {
      case "PUSH" -> producers.push(connection, arguments);
      case BATCH_VERB -> connection.reply(PushBatch.NOT_AN_ARRAY);
      case "FETCH" -> consumers.fetch(connection, arguments);
      case "ACK" -> connection.reply(consumers.acknowledge(connection, Json.read(arguments)));
      case "FAIL" -> connection.reply(consumers.fail(connection, Json.read(arguments)));
      case "BEAT" -> connection.reply(consumers.beat(connection, Json.read(arguments)));
      case "TRACK" -> connection.reply(tracking.track(connection, arguments));
      case "INFO" -> connection.reply(admin.info());
      case "FLUSH" -> connection.reply(admin.flush());
      case "MUTATE" -> connection.reply(admin.mutate(arguments));
      case "END" -> connection.replyAndClose(Reply.OK);
      default -> connection.reply(Reply.error("unknown command " + verb));
    }
  }

  private void authenticate(FaktoryConnection connection, String verb, String arguments) {
    try {
      Handshake handshake = checkedHandshake(connection, verb, arguments);
      connection.authenticated(limits.maxLineBytes());
      if (handshake.isWorker()) {
        connection.joinedAs(workers.connect(handshake, connection));
      }
      connection.reply(Reply.OK);
    } catch (Handshake.RejectedException e) {
      log.warn("Faktory client rejected reason=" + e.getMessage());
      connection.replyAndClose(Reply.error(e.getMessage()));
    } catch (Json.MalformedException e) {
      connection.replyAndClose(Reply.error(e.getMessage()));
    }
  }

  private Handshake checkedHandshake(FaktoryConnection connection, String verb, String arguments)
      throws Handshake.RejectedException, Json.MalformedException {
    if (!verb.equals("HELLO")) {
      throw new Handshake.RejectedException("HELLO comes first");
    }
    Handshake handshake = Handshake.of(Json.read(arguments), connection.challenge());
    if (handshake.isWorker() && !settings.workers().enabled()) {
      throw new Handshake.RejectedException("copy workers are not taken here");
    }
    return handshake;
  }
}
