package loomreel.faktory;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import loomreel.faktory.protocol.Handshake;
import loomreel.faktory.protocol.LineReader;
import loomreel.faktory.protocol.PasswordChallenges;
import loomreel.faktory.protocol.Reply;
import loomreel.faktory.worker.FaktoryWorkerPool;
import loomreel.faktory.worker.WorkerConnection;
import loomreel.faktory.worker.WorkerRegistry;
import loomreel.io.ByteConnection;
import loomreel.io.ByteQueue;
import loomreel.io.EventLoop;
import loomreel.io.RateLimitedLogger;

/**
 * One connection of a Faktory client or worker: frames commands, one a line, passes them to the
 * {@link CommandDispatcher}, and writes RESP replies in order. Owned by the {@link
 * FaktoryListener}; {@link ConnectionState} has its states and their transitions.
 */
final class FaktoryConnection extends ByteConnection implements WorkerConnection {
  /** How long HELLO may take, the reading of replies, and the client's close after ours. */
  private static final long TIMEOUT_MICROS = 5_000_000;

  /** How long a command may take from its first byte to its last. */
  private static final long COMMAND_TIMEOUT_MICROS = 6 * TIMEOUT_MICROS;

  private static final int MAX_HELLO_BYTES = 4 * 1024;

  /** What a client may leave unread before its commands are read no more. */
  private static final int MAX_UNREAD_REPLY_BYTES = 256 * 1024;

  /** What may be buffered behind a command that is not answered yet. */
  private static final int MAX_PIPELINED_BYTES = 64 * 1024;

  /**
   * What a connection works with.
   *
   * @param commands carries out what the client sends
   * @param workers is told what is fetched and written here
   * @param listener is told when the connection authenticates and closes
   * @param passwordIterations how often the client hashes its password
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
  private final ByteQueue pipelined;

  private ConnectionState state = ConnectionState.AWAITING_HELLO;

  /** For HELLO, for the rest of a command, and for the client's close; or null. */
  private EventLoop.Timer inputTimer;

  /** Runs while replies wait to be read by the client, else null. */
  private EventLoop.Timer unreadReplyTimer;

  /** The worker process at the other side, or null for a client that only pushes. */
  private WorkerRegistry.Worker worker;

  /** The queues of the FETCH that waits; only valid in {@link ConnectionState#AWAITING_JOB}. */
  private List<String> fetchQueues = List.of();

  private EventLoop.Timer fetchTimer;

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
    pipelined = new ByteQueue(loop.pool());
    inputTimer = closeWithErrorAfter(TIMEOUT_MICROS, "HELLO took too long");
  }

  private EventLoop.Timer closeWithErrorAfter(long micros, String message) {
    return loop.schedule(loop.now() + micros, () -> replyAndClose(Reply.error(message)));
  }

  /** Sends the server's greeting, with the challenge where a password is required. */
  void greet() {
    String password =
        challenge.isRequired()
            ? ",\"i\":" + context.passwordIterations() + ",\"s\":\"" + challenge.salt() + "\""
            : "";
    reply(new Reply.SimpleString("HI {\"v\":" + Handshake.VERSION + password + "}"));
  }

  /** What the client has to prove in its HELLO. */
  PasswordChallenges.Challenge challenge() {
    return challenge;
  }

  ConnectionState state() {
    return state;
  }

  /** Whether a worker process is at the other side. */
  boolean isWorker() {
    return worker != null;
  }

  /** The worker process at the other side, or null for a client that only pushes. */
  WorkerRegistry.Worker worker() {
    return worker;
  }

  /** HELLO was accepted: commands of up to so many bytes follow. */
  void authenticated(int maxCommandBytes) {
    state = state.become(ConnectionState.READY);
    cancelInputTimer();
    lines.maxLineBytes(maxCommandBytes);
    context.listener().authenticated(this);
  }

  /** The client is a connection of that worker process. */
  void joinedAs(WorkerRegistry.Worker process) {
    worker = process;
  }

  private void cancelInputTimer() {
    if (inputTimer != null) {
      inputTimer.cancel();
      inputTimer = null;
    }
  }

  @Override
  protected void bytesReceived(ByteBuffer in) {
    while (state.acceptsInput() && in.hasRemaining()) {
      if (state.isBusy() || out.length() > MAX_UNREAD_REPLY_BYTES) {
        pipelined.append(in, in.remaining());
        pauseReading(
            pipelined.length() > MAX_PIPELINED_BYTES || out.length() > MAX_UNREAD_REPLY_BYTES);
        return;
      }
      Optional<String> line;
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
      if (state != ConnectionState.AWAITING_HELLO) {
        cancelInputTimer();
      }
      context.commands().dispatch(this, line.get());
    }
  }

  private void awaitRestOfCommand() {
    if (state != ConnectionState.AWAITING_HELLO && inputTimer == null && !lines.atStart()) {
      inputTimer = closeWithErrorAfter(COMMAND_TIMEOUT_MICROS, "a command took too long");
    }
  }

  /** Carries out what arrived meanwhile. */
  private void resume() {
    if (!isClosed() && pipelined.length() > 0) {
      byte[] more = pipelined.toArray();
      pipelined.release();
      bytesReceived(ByteBuffer.wrap(more));
    }
    if (state.acceptsInput() && pipelined.length() <= MAX_PIPELINED_BYTES) {
      pauseReading(false);
    }
  }

  /** A command is under way whose reply follows with {@link #completeCommand}. */
  void beginCommand(ConnectionState busy) {
    state = state.become(busy);
  }

  /** The command that was under way is done; a connection that has closed meanwhile stays so. */
  void completeCommand(Reply reply) {
    if (!isClosed()) {
      state = state.become(ConnectionState.READY);
      reply(reply);
      resume();
    }
  }

  /** A FETCH waits for a job of these queues, for so long at most. */
  void awaitJob(List<String> queues, long micros) {
    state = state.become(ConnectionState.AWAITING_JOB);
    fetchQueues = queues;
    context.workers().addWaitingFetches(worker, 1);
    fetchTimer = loop.schedule(loop.now() + micros, this::answerFetchWithoutJob);
  }

  @Override
  public void offer() {
    if (state == ConnectionState.AWAITING_JOB) {
      byte[] job = context.workers().fetch(worker, this, fetchQueues);
      if (job != null && state == ConnectionState.AWAITING_JOB) {
        endFetchWait();
        sendJob(job);
        resume();
      }
    }
  }

  @Override
  public void answerFetchWithoutJob() {
    if (state == ConnectionState.AWAITING_JOB) {
      endFetchWait();
      reply(Reply.NIL);
      resume();
    }
  }

  private void endFetchWait() {
    if (state == ConnectionState.AWAITING_JOB) {
      state = state.become(ConnectionState.READY);
      fetchTimer.cancel();
      context.workers().addWaitingFetches(worker, -1);
    }
  }

  /** Appends a reply, and writes as much as the channel takes. */
  void reply(Reply reply) {
    append(reply);
    send();
  }

  /** A job goes out; it may run once its last byte has, whatever else is written behind it. */
  void sendJob(byte[] job) {
    append(new Reply.BulkString(job));
    context.workers().setEndOffset(worker, this, appendedBytes);
    send();
  }

  /** The last reply: nothing that the client sends is carried out after it. */
  void replyAndClose(Reply reply) {
    if (!isClosed()) {
      reply(reply);
    }
    if (!isClosed()) {
      state = state.become(ConnectionState.CLOSING);
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
    if (!isClosed() && worker != null) {
      context.workers().bytesWritten(worker, this, appendedBytes - out.length());
    }
    if (!isClosed() && out.length() > 0 && unreadReplyTimer == null) {
      unreadReplyTimer = loop.schedule(loop.now() + TIMEOUT_MICROS, this::close);
    }
  }

  /**
   * Closing at once would reset the connection if anything has come unread, and the last reply
   * could be lost.
   */
  private void shutdownOutput() {
    cancelInputTimer();
    inputTimer = loop.schedule(loop.now() + TIMEOUT_MICROS, this::close);
    endOutput();
  }

  @Override
  protected void flushed() {
    if (unreadReplyTimer != null) {
      unreadReplyTimer.cancel();
      unreadReplyTimer = null;
    }
    if (worker != null) {
      context.workers().bytesWritten(worker, this, appendedBytes);
    }
    if (state == ConnectionState.CLOSING) {
      shutdownOutput();
    } else if (!state.isBusy() && pipelined.length() > 0) {
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
    if (worker != null) {
      // Before what is left unwritten is thrown away: what has gone out may run.
      context.workers().bytesWritten(worker, this, appendedBytes - out.length());
    }
    endFetchWait();
    state = state.become(ConnectionState.CLOSED);
    super.close();
    releaseResources();
    context.listener().closed(this);
    if (worker != null) {
      WorkerRegistry.Worker left = worker;
      worker = null;
      context.workers().disconnect(left, this);
    }
  }

  private void releaseResources() {
    lines.release();
    pipelined.release();
    for (EventLoop.Timer timer : Arrays.asList(inputTimer, unreadReplyTimer, fetchTimer)) {
      if (timer != null) {
        timer.cancel();
      }
    }
  }
}
