package loomreel.http;

import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;

/**
 * The headers that this program reads. All others are checked when a head is parsed, and are not
 * retained: a head of many short fields would take far more memory than its bytes.
 */
final class RetainedHeaders {
  /** The number of a callback that one process forwards to another during a hot restart. */
  private static final String CALLBACK_NUMBER = "x-number";

  /** Names in lower case. */
  private static final Set<String> NAMES =
      new HashSet<>(
          Set.of(
              HttpHead.CONNECTION,
              HttpHead.CONTENT_LENGTH,
              HttpHead.TRANSFER_ENCODING,
              HttpMessageParser.EXPECT_HEADER,
              CALLBACK_NUMBER));

  static {
    Arrays.stream(JobHeader.values()).map(JobHeader::lowerCaseName).forEach(NAMES::add);
  }

  private RetainedHeaders() {}

  /** Returns whether the header with a name in lower case is read. */
  static boolean contains(String name) {
    return NAMES.contains(name);
  }
}
