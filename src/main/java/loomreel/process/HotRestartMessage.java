package loomreel.process;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import loomreel.http.HttpHeaders;

/**
 * A message that a process sends to its predecessor or successor during a hot restart.
 *
 * <p>A message is sent as an HTTP request {@code POST /NAME}, where {@code NAME} is the wire name
 * of the message type. The header {@code X-Number} contains a callback number, and the body is the
 * content. No HTTP responses are sent.
 *
 * <p>The receiver of a {@link Type#CALLBACK} replies with a {@link Type#CALLBACK_HANDLED} that has
 * the same callback number. Messages of all other types are one-way messages: there is no reply to
 * them, and their callback number is 0.
 *
 * <p>Processes of different versions exchange these messages. For this reason, the wire names and
 * the format must not change.
 *
 * <p>In this class, a call is a job that the dispatcher has accepted. A callback is a request in
 * which a worker reports the state of a call. A forwarded callback counts as handled in the
 * following cases:
 *
 * <ul>
 *   <li>A process has delivered the callback to its call.
 *   <li>The call is not active in the process that received the callback, and that process has no
 *       other peer to which it can forward the callback. The callback is discarded.
 *   <li>The connection on which the callback was forwarded has closed.
 * </ul>
 */
final class HotRestartMessage {
  /**
   * The type of a message. The wire name of a type must not change, because earlier versions that
   * are still in service use it.
   */
  enum Type {
    /**
     * Forwards a callback of a worker, because the callback's call is not active at the sender. The
     * body of the message is the body of the callback.
     */
    CALLBACK("news"),

    /**
     * Confirms that a {@link #CALLBACK} was handled, that is, that the callback was delivered to
     * its call or was discarded. The header {@code X-Number} contains the same number as in that
     * {@link #CALLBACK}. The body is empty.
     */
    CALLBACK_HANDLED("taken"),

    /**
     * The call whose id is in the body is active at the sender. Sent when the call becomes active.
     * Sent again for each active call when a peer connects, and when a peer disconnects while
     * another peer remains connected.
     */
    CALL_ID_ACQUIRED("holds"),

    /** The call whose id is in the body is no longer active at the sender. */
    CALL_ID_RELEASED("frees"),

    /**
     * The sender shuts down while a successor is connected to it. The sender accepts no more
     * connections and no longer uses the slow-start allowance, so that the receiver uses the full
     * allowance. The allowance limits the load that a dispatcher sends to workers which started
     * recently. The body is empty.
     */
    HANDING_OVER("leaving"),

    /** Operators have disabled the worker whose id is in the body. */
    WORKER_DISABLED("down"),

    /** Operators have enabled the worker whose id is in the body. */
    WORKER_ENABLED("up"),

    /** Operators have started a client drain. The body is empty. */
    CLIENT_DRAIN_STARTED("drain"),

    /** Operators have stopped the client drain. The body is empty. */
    CLIENT_DRAIN_STOPPED("serve"),

    /**
     * The body contains all overrides that operators have set, in the text format of {@link
     * OperatorOverrides}.
     */
    OPERATOR_OVERRIDES("state");

    private final String wireName;

    Type(String wireName) {
      this.wireName = wireName;
    }

    private static Optional<Type> of(String wireName) {
      return Arrays.stream(values()).filter(type -> type.wireName.equals(wireName)).findFirst();
    }
  }

  /** The name of the HTTP header that contains the callback number. */
  static final String CALLBACK_NUMBER_HEADER = "x-number";

  private static final String HOST = "sibling";
  private static final byte[] EMPTY_BODY = {};

  private final Type type;
  private final long callbackNumber;
  private final byte[] body;

  private HotRestartMessage(Type type, long callbackNumber, byte[] body) {
    this.type = type;
    this.callbackNumber = callbackNumber;
    this.body = body;
  }

  /**
   * Creates a message that forwards a callback to the predecessor or successor.
   *
   * @param callbackNumber identifies the callback on the connection to the receiver until the
   *     callback is handled
   * @param callback the body of the callback; the array is not copied
   */
  static HotRestartMessage callback(long callbackNumber, byte[] callback) {
    return new HotRestartMessage(Type.CALLBACK, callbackNumber, callback);
  }

  /**
   * Creates a message that confirms that a forwarded callback was handled.
   *
   * @param callbackNumber the callback number of the {@link Type#CALLBACK} that was handled
   */
  static HotRestartMessage callbackHandled(long callbackNumber) {
    return new HotRestartMessage(Type.CALLBACK_HANDLED, callbackNumber, EMPTY_BODY);
  }

  /**
   * Creates a one-way message, to which there is no reply.
   *
   * @param type any type except {@link Type#CALLBACK} and {@link Type#CALLBACK_HANDLED}
   * @param text the body
   */
  static HotRestartMessage oneWayMessage(Type type, String text) {
    return new HotRestartMessage(type, 0, text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Decodes a received message.
   *
   * @param target the request target
   * @param callbackNumber the value of the header {@link #CALLBACK_NUMBER_HEADER}, or null if the
   *     header is missing
   * @param body the request body; the array is not copied
   * @throws IllegalArgumentException if the target is not the wire name of a type, or if the
   *     callback number is missing or invalid
   */
  static HotRestartMessage decode(String target, String callbackNumber, byte[] body) {
    Type type =
        Type.of(target.substring(1))
            .orElseThrow(() -> new IllegalArgumentException("unknown message " + target));
    return new HotRestartMessage(type, Long.parseLong(callbackNumber), body);
  }

  /** Returns the head of the HTTP request. The message is sent as this head and {@link #body}. */
  String head() {
    return HttpHeaders.request(
        "POST", "/" + type.wireName, HOST, body.length, "X-Number: " + callbackNumber);
  }

  Type type() {
    return type;
  }

  /** Returns the callback number, or 0 if this is a one-way message. */
  long callbackNumber() {
    return callbackNumber;
  }

  /** Returns the message body, which the caller must not modify. */
  byte[] body() {
    return body;
  }

  /** Returns the message body decoded as UTF-8. */
  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
