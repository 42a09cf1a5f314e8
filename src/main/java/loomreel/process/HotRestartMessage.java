package loomreel.process;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import loomreel.http.HttpHeaders;

/**
 * A message between the two processes of a hot restart.
 *
 * <p>It is sent as an HTTP request {@code POST /NAME}, where {@code NAME} is the wire name of its
 * type. The header {@code X-Number} contains a callback number, and the body is the content. There
 * are no responses. Processes of different versions exchange these messages, so the wire names and
 * the format must not change.
 */
final class HotRestartMessage {
  /** The type of a message. Its wire name must not change, because versions in service use it. */
  enum Type {
    /** A callback whose job is not active at the sender. The body is that of the callback. */
    CALLBACK("news"),

    /** The callback with this number was handled. */
    CALLBACK_HANDLED("taken"),

    /** A call with the id in the body has become active at the sender. */
    CALL_ID_ACQUIRED("holds"),

    /** The call with the id in the body is no longer active at the sender. */
    CALL_ID_RELEASED("frees"),

    /** The sender shuts down and leaves all capacity to the receiver. */
    HANDING_OVER("leaving"),

    /** Operators have disabled the worker whose id is in the body. */
    WORKER_DISABLED("down"),

    /** Operators have enabled the worker whose id is in the body. */
    WORKER_ENABLED("up"),

    /** Operators have started a client drain. */
    CLIENT_DRAIN_STARTED("drain"),

    /** Operators have stopped the client drain. */
    CLIENT_DRAIN_STOPPED("serve"),

    /**
     * All overrides that operators have set. The body is the text format of {@link
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

  /** The name of the header that contains the callback number. */
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
   * Creates a message that forwards a callback to the other process.
   *
   * @param callbackNumber identifies the callback on its connection until it is handled
   * @param callback the body of the callback, which is not copied
   */
  static HotRestartMessage callback(long callbackNumber, byte[] callback) {
    return new HotRestartMessage(Type.CALLBACK, callbackNumber, callback);
  }

  /** Creates the message which confirms that the callback with this number was handled. */
  static HotRestartMessage callbackHandled(long callbackNumber) {
    return new HotRestartMessage(Type.CALLBACK_HANDLED, callbackNumber, EMPTY_BODY);
  }

  /** Creates a notice, which is a message that is not answered. */
  static HotRestartMessage notice(Type type, String text) {
    return new HotRestartMessage(type, 0, text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Decodes a received message.
   *
   * @param target the request target
   * @param callbackNumber the value of {@link #CALLBACK_NUMBER_HEADER}
   * @param body the request body, which is not copied
   * @throws IllegalArgumentException if the target names no type or the number is missing or
   *     invalid
   */
  static HotRestartMessage decode(String target, String callbackNumber, byte[] body) {
    Type type =
        Type.of(target.substring(1))
            .orElseThrow(() -> new IllegalArgumentException("unknown message " + target));
    return new HotRestartMessage(type, Long.parseLong(callbackNumber), body);
  }

  /**
   * Returns the head of the HTTP request that carries the message. The {@link #body} follows it.
   */
  String head() {
    return HttpHeaders.request(
        "POST", "/" + type.wireName, HOST, body.length, "X-Number: " + callbackNumber);
  }

  Type type() {
    return type;
  }

  /** Returns the callback number, or 0 if the message does not concern a callback. */
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
