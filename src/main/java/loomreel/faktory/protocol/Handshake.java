package loomreel.faktory.protocol;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * The argument of HELLO (protocol specification, "Initial Handshake").
 *
 * @param wid the id of a worker's process, or null for a client that only pushes
 * @param labels of the form name=value
 */
public record Handshake(String wid, Map<String, String> labels) {
  /** The version of the protocol. */
  private static final int VERSION = 2;

  private static final int MAX_LABELS = 64;
  private static final Pattern WID = Pattern.compile("[A-Za-z0-9_.:-]{1,64}");
  private static final Pattern SLOTS = Pattern.compile("[1-9][0-9]{0,3}");

  /** The client is not admitted; the message is for the client. */
  public static final class RejectedException extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates an exception without a stack trace, since clients can cause many. */
    public RejectedException(String message) {
      super(message, null, false, false);
    }
  }

  /**
   * The server's greeting, with the challenge where a password is required.
   *
   * @param iterations how many times the client has to hash the password
   */
  public static Reply greeting(PasswordChallenges.Challenge challenge, int iterations) {
    String password =
        challenge.isRequired()
            ? ",\"i\":" + iterations + ",\"s\":\"" + challenge.salt() + "\""
            : "";
    return new Reply.SimpleString("HI {\"v\":" + VERSION + password + "}");
  }

  /**
   * Reads and checks the argument of HELLO.
   *
   * @throws RejectedException if the version, the password or the wid is wrong
   */
  public static Handshake of(JsonNode hello, PasswordChallenges.Challenge challenge)
      throws RejectedException {
    if (!hello.isObject() || hello.path("v").asInt(-1) != VERSION) {
      throw new RejectedException("this is version " + VERSION + " of the protocol");
    }
    if (challenge.isRequired()
        && !equalInConstantTime(challenge.expectedHash(), hello.path("pwdhash").asText(""))) {
      throw new RejectedException("invalid password");
    }
    String wid = hello.path("wid").isTextual() ? hello.path("wid").asText() : null;
    if (wid != null && !WID.matcher(wid).matches()) {
      throw new RejectedException("a wid of 1 to 64 letters, digits, _, ., : and -");
    }
    return new Handshake(wid, labels(hello.path("labels")));
  }

  /** The duration must not depend on how much of a guess is right. */
  private static boolean equalInConstantTime(String expected, String given) {
    return MessageDigest.isEqual(
        expected.getBytes(StandardCharsets.US_ASCII), given.getBytes(StandardCharsets.US_ASCII));
  }

  private static Map<String, String> labels(JsonNode texts) {
    Map<String, String> labels = new LinkedHashMap<>();
    for (JsonNode text : texts) {
      String[] parts = text.asText().split("=", 2);
      if (parts.length == 2 && labels.size() < MAX_LABELS) {
        labels.put(parts[0], parts[1]);
      }
    }
    return labels;
  }

  /**
   * The hash that a client sends, in hexadecimal: SHA-256 of password and salt, and then of the
   * result until the number of iterations is reached.
   */
  public static String hash(String password, String salt, int iterations) {
    try {
      MessageDigest sha256 = MessageDigest.getInstance("SHA-256");
      byte[] hash = sha256.digest((password + salt).getBytes(StandardCharsets.UTF_8));
      for (int i = 1; i < iterations; i++) {
        hash = sha256.digest(hash);
      }
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every JVM has SHA-256", e);
    }
  }

  /** Whether the client is a worker, and may fetch. */
  public boolean isWorker() {
    return wid != null;
  }

  /** The number of jobs at a time that the labels give, or {@code defaultSlots}. */
  public int slots(int defaultSlots) {
    String slots = labels.getOrDefault("slots", "");
    return SLOTS.matcher(slots).matches() ? Integer.parseInt(slots) : defaultSlots;
  }
}
