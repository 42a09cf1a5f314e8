package loomreel.process;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import loomreel.http.HttpHeaders;

/**
 * A message between the two processes of a hot restart.
 *
 * <p>On the connection it is an HTTP request, {@code POST /WORD} with a number in {@code X-Number}
 * and the content as its body; there are no responses. Processes of different versions exchange
 * these messages, so the words and the format must not change.
 */
final class HotRestartMessage {
  /** The kind of a message; its word on the wire is fixed by the versions that are in service. */
  enum Type {
    /** A callback whose job is not in flight at the sender; the body is the callback's. */
    CALLBACK("news"),

    /** The callback with this number was handled. */
    CALLBACK_HANDLED("taken"),

    /** A call with the id in the body has become active at the sender. */
    CALL_ID_ACQUIRED("holds"),

    /** The call with the id in the body has ended at the sender. */
    CALL_ID_RELEASED("frees"),

    /** The sender shuts down and gives all capacity to the receiver. */
    HANDING_OVER("leaving"),

    /** Operators have disabled the worker in the body. */
    WORKER_DISABLED("down"),

    /** Operators have enabled the worker in the body. */
    WORKER_ENABLED("up"),

    /** Operators have started a client drain. */
    CLIENT_DRAIN_STARTED("drain"),

    /** Operators have stopped the client drain. */
    CLIENT_DRAIN_STOPPED("serve"),

    /** All that operators have set; the body is the text of {@link OperatorOverrides}. */
    OPERATOR_OVERRIDES("state");

    private final String word;

    Type(String word) {
      this.word = word;
    }

    private static Optional<Type> of(String word) {
      return Arrays.stream(values()).filter(type -> type.word.equals(word)).findFirst();
    }
  }

  /** The header that holds the number of a callback. */
  static final String NUMBER_HEADER = "x-number";

  private static final String HOST = "sibling";
  private static final byte[] EMPTY = {};

  private final Type type;
  private final long number;
  private final byte[] body;

  private HotRestartMessage(Type type, long number, byte[] body) {
    this.type = type;
    this.number = number;
    this.body = body;
  }

  /**
   * A callback for the other process.
   *
   * @param number identifies it on this connection until it is handled
   */
  static HotRestartMessage callback(long number, byte[] callback) {
    return new HotRestartMessage(Type.CALLBACK, number, callback);
  }

  /** The answer to the callback with this number. */
  static HotRestartMessage callbackHandled(long number) {
    return new HotRestartMessage(Type.CALLBACK_HANDLED, number, EMPTY);
  }

  /** A message that is not answered. */
  static HotRestartMessage notice(Type type, String text) {
    return new HotRestartMessage(type, 0, text.getBytes(StandardCharsets.UTF_8));
  }

  /**
   * Decodes a received message.
   *
   * @param target the request's target
   * @param number the value of {@link #NUMBER_HEADER}
   * @throws IllegalArgumentException if the target or the number is not one of a message
   */
  static HotRestartMessage decode(String target, String number, byte[] body) {
    Type type =
        Type.of(target.substring(1))
            .orElseThrow(() -> new IllegalArgumentException("unknown message " + target));
    return new HotRestartMessage(type, Long.parseLong(number), body);
  }

  /** The head of the HTTP request that carries the message; {@link #body} follows it. */
  String head() {
    return HttpHeaders.request("POST", "/" + type.word, HOST, body.length, "X-Number: " + number);
  }

  /** Its kind. */
  Type type() {
    return type;
  }

  /** The number of the callback; 0 in other messages. */
  long number() {
    return number;
  }

  /** Its body, which the caller must not change. */
  byte[] body() {
    return body;
  }

  /** Its body as text. */
  String text() {
    return new String(body, StandardCharsets.UTF_8);
  }
}
