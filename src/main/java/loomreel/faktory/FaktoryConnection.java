package loomreel.faktory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.List;
import java.util.Optional;
import loomreel.faktory.protocol.CommandLine;
import loomreel.faktory.protocol.Handshake;
import loomreel.faktory.protocol.LineReader;
import loomreel.faktory.protocol.PasswordChallenges;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.worker.FaktoryWorkerPool;
import loomreel.faktory.worker.WorkerConnection;
import loomreel.faktory.worker.WorkerRegistry;
import loomreel.io.ByteConnection;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;
import loomreel.io.StalledConnections;

/**
 * One connection of a Faktory client or worker: frames commands, one a line, passes them to the
 * {@link CommandDispatcher}, and writes RESP replies in order. Owned by the {@link
 * FaktoryListener}; {@link FaktoryConnectionState} has its states and their transitions.
 */
final class FaktoryConnection extends ByteConnection implements WorkerConnection {
  /**
   * How long HELLO may take, the reading of replies, and the client's close after ours, in
   * microseconds.
   */
  private static final long TIMEOUT_MICROS = 5_000_000;

  /** How long a command may take from its first byte to its last, in microseconds. */
  private static final long COMMAND_TIMEOUT_MICROS = 6 * TIMEOUT_MICROS;

  private static final int MAX_HELLO_BYTES = 4 * 1024;

  /** The client's input is not read while more bytes of replies than this are unread. */
  private static final int MAX_UNREAD_REPLY_BYTES = 256 * 1024;

  /**
   * What all connections use.
   *
   * @param commands carries out what the client sends
   * @param workers is notified of what is fetched and written here
   * @param listener is notified when the connection authenticates and closes
   * @param passwordIterations how many times the client hashes its password
   */
  record Context(
      CommandDispatcher commands,
      FaktoryWorkerPool workers,
      FaktoryListener listener,
      int passwordIterations,
      RateLimitedLogger log) {}

  private final Context context;
  private final PasswordChallenges.Challenge challenge;
  private final LineReader lines;

  /** Commands that arrived while another was under way. */
  private final PipelinedCommands pipelined;

  /** For HELLO, for the rest of a command, and for the client's close. */
  private final Timeout inputTimeout;

  /** Started while replies wait to be read by the client. */
  private final Timeout unreadReplyTimeout;

  /** A command that waits for its turn, which this connection releases if it closes before. */
  private CommandLine heldCommand;

  private FaktoryConnectionState state = FaktoryConnectionState.AWAITING_HELLO;

  /** Null for a client that only pushes, and after the close. */
  private WorkerSession workerSession;

  /** All bytes that were ever appended to the output. */
  private long appendedBytes;

  FaktoryConnection(
      EventLoop loop,
      SocketChannel channel,
      PasswordChallenges.Challenge challenge,
      Context context)
      throws IOException {
    super(loop, channel, true);
    this.context = context;
    this.challenge = challenge;
    lines = new LineReader(loop.pool(), MAX_HELLO_BYTES);
    pipelined = new PipelinedCommands(loop.pool());
    unreadReplyTimeout = new Timeout(loop);
    inputTimeout = new Timeout(loop);
    closeWithErrorAfter(TIMEOUT_MICROS, "HELLO took too long");
  }

  private void closeWithErrorAfter(long micros, String message) {
    inputTimeout.start(micros, () -> replyAndClose(Reply.error(message)));
  }

  /** Sends the server's greeting, with the challenge where a password is required. */
  void greet() {
    reply(Handshake.greeting(challenge, context.passwordIterations()));
  }

  /** The challenge that the client has to answer in its HELLO. */
  PasswordChallenges.Challenge challenge() {
    return challenge;
  }

  FaktoryConnectionState state() {
    return state;
  }

  /** Whether a worker process is at the other side. */
  boolean isWorker() {
    return workerSession != null;
  }

  /** The worker process at the other side, or null for a client that only pushes. */
  WorkerRegistry.Worker worker() {
    return workerSession == null ? null : workerSession.worker();
  }

  /** HELLO was accepted: commands of up to so many bytes follow. */
  void authenticated(int maxCommandBytes) {
    state = state.become(FaktoryConnectionState.READY);
    inputTimeout.stop();
    lines.maxLineBytes(maxCommandBytes);
    context.listener().authenticated(this);
  }

  /** The client is a connection of that worker process. */
  void joinedAs(WorkerRegistry.Worker process) {
    workerSession = new WorkerSession(loop, context.workers(), process, this);
  }

  @Override
  protected void bytesReceived(ByteBuffer in) {
    readCommands(in);
    updateStalled();
  }

  private void readCommands(ByteBuffer in) {
    while (state.acceptsInput() && in.hasRemaining()) {
      if (state.isBusy() || out.length() > MAX_UNREAD_REPLY_BYTES) {
        pipelined.add(in);
        pauseReading(pipelined.isFull() || out.length() > MAX_UNREAD_REPLY_BYTES);
        return;
      }
      Optional<CommandLine> line;
      try {
        line = lines.next(in);
      } catch (LineReader.BadLineException e) {
        context.log().info("Faktory client sent a malformed command reason=" + e.getMessage());
        replyAndClose(Reply.error(e.getMessage()));
        return;
      }
      if (line.isEmpty()) {
        awaitRestOfCommand();
        return;
      }
      if (state != FaktoryConnectionState.AWAITING_HELLO) {
        inputTimeout.stop();
      }
      context.commands().dispatch(this, line.get());
    }
  }

  private void awaitRestOfCommand() {
    if (state != FaktoryConnectionState.AWAITING_HELLO
        && !inputTimeout.isStarted()
        && !lines.atStart()) {
      closeWithErrorAfter(COMMAND_TIMEOUT_MICROS, "a command took too long");
    }
  }

  /** Carries out the commands that arrived while another was under way. */
  private void resume() {
    if (!isClosed() && !pipelined.isEmpty()) {
      bytesReceived(pipelined.takeAll());
    }
    if (state.acceptsInput() && !pipelined.isFull()) {
      pauseReading(false);
    }
  }

  /** Takes over the ownership of a command that waits for its turn. */
  void hold(CommandLine command) {
    heldCommand = command;
    updateStalled();
  }

  /**
   * Gives up the ownership of a command whose turn it is.
   *
   * @return false if the connection has closed or the command was rejected meanwhile
   */
  boolean takeHeld(CommandLine command) {
    boolean isHeld = !isClosed() && command.equals(heldCommand);
    if (isHeld) {
      heldCommand = null;
      updateStalled();
    }
    return isHeld;
  }

  /** Whether the buffers of this connection wait for its peer, or for the turn of its command. */
  private void updateStalled() {
    if (!isClosed() && isHoldingBuffers()) {
      loop.stalledConnections()
          .add(
              this,
              isWorker()
                  ? StalledConnections.Eviction.WHEN_EXHAUSTED
                  : StalledConnections.Eviction.WHEN_SCARCE);
    } else {
      loop.stalledConnections().remove(this);
    }
  }

  private boolean isHoldingBuffers() {
    return !lines.atStart() || !pipelined.isEmpty() || out.length() > 0 || heldCommand != null;
  }

  /** Rejects a command that is incomplete or waits for its turn; discards unread replies. */
  @Override
  protected void evict() {
    Reply error = Reply.error("no memory for long commands now");
    if (heldCommand != null) {
      heldCommand.release();
      heldCommand = null;
      completeCommand(error);
    } else if (out.length() == 0 && state.acceptsInput() && !state.isBusy()) {
      lines.release();
      replyAndClose(error);
    } else {
      close();
    }
  }

  /** A command is under way whose reply follows with {@link #completeCommand}. */
  void beginCommand(FaktoryConnectionState busy) {
    state = state.become(busy);
  }

  /** The command that was under way is done; a connection that has closed meanwhile stays so. */
  void completeCommand(Reply reply) {
    if (!isClosed()) {
      state = state.become(FaktoryConnectionState.READY);
      reply(reply);
      resume();
    }
  }

  /** The payload of a job of these queues for the worker, or null where none is waiting. */
  byte[] fetch(List<String> queues) {
    return workerSession.fetch(queues);
  }

  /** A FETCH waits for a job of these queues, for so long at most. */
  void awaitJob(List<String> queues, long micros) {
    state = state.become(FaktoryConnectionState.AWAITING_JOB);
    workerSession.startFetchWait(queues, micros);
  }

  @Override
  public void offer() {
    if (state == FaktoryConnectionState.AWAITING_JOB) {
      byte[] job = workerSession.fetchForWaiting();
      if (job != null && state == FaktoryConnectionState.AWAITING_JOB) {
        endFetchWait();
        sendJob(job);
        resume();
      }
    }
  }

  @Override
  public void answerFetchWithoutJob() {
    if (state == FaktoryConnectionState.AWAITING_JOB) {
      endFetchWait();
      reply(Reply.NIL);
      resume();
    }
  }

  private void endFetchWait() {
    if (state == FaktoryConnectionState.AWAITING_JOB) {
      state = state.become(FaktoryConnectionState.READY);
      workerSession.endFetchWait();
    }
  }

  /** Appends a reply, and writes as much as the channel accepts. */
  void reply(Reply reply) {
    append(reply);
    send();
  }

  /** Sends a job; it may run once its last byte is written, whatever follows on the connection. */
  void sendJob(byte[] job) {
    append(new Reply.BulkString(job));
    workerSession.jobAppended(appendedBytes);
    send();
  }

  /** The last reply: nothing that the client sends is carried out after it. */
  void replyAndClose(Reply reply) {
    if (!isClosed()) {
      reply(reply);
    }
    if (!isClosed()) {
      state = state.become(FaktoryConnectionState.CLOSING);
      if (out.length() == 0) {
        shutdownOutput();
      }
    }
  }

  private void append(Reply reply) {
    int before = out.length();
    reply.appendTo(out);
    appendedBytes += out.length() - before;
  }

  private void send() {
    flush();
    if (!isClosed() && workerSession != null) {
      workerSession.bytesWritten(appendedBytes - out.length());
    }
    if (!isClosed() && out.length() > 0 && !unreadReplyTimeout.isStarted()) {
      unreadReplyTimeout.start(TIMEOUT_MICROS, this::close);
      updateStalled();
    }
  }

  /**
   * Closing at once would reset the connection if there is unread input, and the last reply could
   * be lost.
   */
  private void shutdownOutput() {
    inputTimeout.start(TIMEOUT_MICROS, this::close);
    endOutput();
  }

  @Override
  protected void flushed() {
    unreadReplyTimeout.stop();
    updateStalled();
    if (workerSession != null) {
      workerSession.bytesWritten(appendedBytes);
    }
    if (state == FaktoryConnectionState.CLOSING) {
      shutdownOutput();
    } else if (!state.isBusy() && !pipelined.isEmpty()) {
      loop.schedule(loop.now(), this::resume);
    }
  }

  @Override
  protected void broken() {}

  @Override
  public void close() {
    if (isClosed()) {
      return;
    }
    if (workerSession != null) {
      // Before unwritten output is discarded: a job whose last byte has been written may run.
      workerSession.bytesWritten(appendedBytes - out.length());
    }
    endFetchWait();
    state = state.become(FaktoryConnectionState.CLOSED);
    super.close();
    releaseResources();
    context.listener().closed(this);
    if (workerSession != null) {
      WorkerSession ended = workerSession;
      workerSession = null;
      ended.disconnect();
    }
  }

  private void releaseResources() {
    lines.release();
    pipelined.release();
    if (heldCommand != null) {
      heldCommand.release();
    }
    inputTimeout.stop();
    unreadReplyTimeout.stop();
  }
}
