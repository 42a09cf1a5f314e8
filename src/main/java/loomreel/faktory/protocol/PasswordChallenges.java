package loomreel.faktory.protocol;

import java.security.SecureRandom;
import java.util.HexFormat;
import loomreel.io.EventLoop;

/**
 * Issues the challenges of the handshake. Hashing is deliberately slow work, so a salt is shared by
 * all connections of one second: a crowd of connections must not multiply it.
 */
public final class PasswordChallenges {
  /** How long a salt is handed out, in microseconds. */
  private static final long SALT_LIFETIME_MICROS = 1_000_000;

  private static final int SALT_BYTES = 8;

  /**
   * What a client has to prove.
   *
   * @param salt sent to the client; empty where no password is required
   * @param expectedHash what a client that knows the password answers; empty where none is required
   */
  public record Challenge(String salt, String expectedHash) {
    static final Challenge NONE = new Challenge("", "");

    /** Whether a password is required at all. */
    public boolean isRequired() {
      return !expectedHash.isEmpty();
    }
  }

  private final EventLoop loop;

  /** Null where no password is required. */
  private final String password;

  private final int iterations;
  private final SecureRandom random = new SecureRandom();
  private Challenge current = Challenge.NONE;
  private long expiresAt;

  /**
   * Creates a source of challenges.
   *
   * @param password null where none is required
   * @param iterations how often the client hashes its password
   */
  public PasswordChallenges(EventLoop loop, String password, int iterations) {
    this.loop = loop;
    this.password = password;
    this.iterations = iterations;
  }

  /** The challenge for a connection that is made now. */
  public Challenge next() {
    if (password != null && loop.now() >= expiresAt) {
      byte[] bytes = new byte[SALT_BYTES];
      random.nextBytes(bytes);
      String salt = HexFormat.of().formatHex(bytes);
      current = new Challenge(salt, Handshake.hash(password, salt, iterations));
      expiresAt = loop.now() + SALT_LIFETIME_MICROS;
    }
    return current;
  }
}
