package loomreel.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * The parsed head of a request or response.
 *
 * @param startLine the parts of the start line, as in {@link HttpMessage#startLine}
 * @param headers alternating names, in lower case, and values of the {@link RetainedHeaders}
 * @param keepAlive whether the connection may carry another message after this one
 */
record HttpHead(List<String> startLine, List<String> headers, boolean keepAlive) {
  private static final String END_OF_LINE = "\r\n";
  private static final String VERSION_PREFIX = "HTTP/";
  private static final String VERSION_1_0 = "HTTP/1.0";
  private static final String VERSION_1_1 = "HTTP/1.1";

  // Names of headers, in lower case.
  static final String CONNECTION = "connection";
  static final String CONTENT_LENGTH = "content-length";
  static final String TRANSFER_ENCODING = "transfer-encoding";

  /** The separator characters, which a token must not contain. */
  private static final String SEPARATORS = "()<>@,;:\\\"/[]?={} \t";

  /**
   * Parses a head.
   *
   * @param text the head, including the empty line that ends the head
   * @param isRequest true for the head of a request, false for that of a response
   * @throws BadMessageException if the head is malformed or its HTTP version is neither 1.0 nor 1.1
   */
  static HttpHead parse(String text, boolean isRequest) throws BadMessageException {
    String[] lines =
        text.substring(0, text.length() - 2 * END_OF_LINE.length()).split(END_OF_LINE, -1);
    List<String> startLine = List.of(lines[0].split(" ", isRequest ? -1 : 3));
    String version = startLine.get(isRequest ? startLine.size() - 1 : 0);
    boolean wellFormed =
        version.startsWith(VERSION_PREFIX)
            && (isRequest ? isRequestLine(startLine) : isStatusLine(startLine));
    if (!wellFormed) {
      throw new BadMessageException(HttpStatus.BAD_REQUEST, "malformed first line");
    }
    if (!version.equals(VERSION_1_1) && !version.equals(VERSION_1_0)) {
      throw new BadMessageException(HttpStatus.VERSION_NOT_SUPPORTED, "version not supported");
    }
    List<String> headers = parseHeaders(lines);
    return new HttpHead(startLine, headers, allowsKeepAlive(version, headers));
  }

  private static boolean isRequestLine(List<String> startLine) {
    return startLine.size() == 3
        && isToken(startLine.get(0))
        && startLine.get(1).startsWith("/")
        && isVisibleAscii(startLine.get(1));
  }

  private static boolean isStatusLine(List<String> startLine) {
    return startLine.size() >= 2
        && startLine.size() <= 3
        && startLine.get(1).matches("[1-5][0-9][0-9]");
  }

  private static List<String> parseHeaders(String[] lines) throws BadMessageException {
    List<String> headers = new ArrayList<>();
    for (int i = 1; i < lines.length; i++) {
      String line = lines[i];
      int colon = line.indexOf(':');
      if (colon < 1 || !isToken(line.substring(0, colon)) || hasControlCharacter(line)) {
        throw new BadMessageException(HttpStatus.BAD_REQUEST, "malformed header");
      }
      String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
      String value = line.substring(colon + 1).strip();
      if (RetainedHeaders.contains(name) && isNeeded(headers, name, value)) {
        headers.add(name);
        headers.add(value);
      }
    }
    return headers;
  }

  /**
   * Returns whether a header adds to those that are retained. Of most headers, the first one
   * counts. Of the headers that frame the body, a second one makes the message malformed.
   */
  private static boolean isNeeded(List<String> headers, String name, String value) {
    long count = headers.stream().filter(name::equals).count();
    return switch (name) {
      case CONTENT_LENGTH ->
          count == 0 || !value.equals(HttpMessage.findHeader(headers, CONTENT_LENGTH));
      case TRANSFER_ENCODING -> count < 2;
      default -> count == 0;
    };
  }

  private static boolean hasControlCharacter(String line) {
    return line.indexOf('\r') >= 0 || line.indexOf('\n') >= 0 || line.indexOf('\0') >= 0;
  }

  private static boolean allowsKeepAlive(String version, List<String> headers) {
    String header = HttpMessage.findHeader(headers, CONNECTION);
    String options = header == null ? "" : header.toLowerCase(Locale.ROOT);
    return version.equals(VERSION_1_1)
        ? !options.contains("close")
        : options.contains("keep-alive");
  }

  private static boolean isToken(String text) {
    return !text.isEmpty()
        && isVisibleAscii(text)
        && text.chars().noneMatch(c -> SEPARATORS.indexOf(c) >= 0);
  }

  private static boolean isVisibleAscii(String text) {
    return text.chars().allMatch(c -> c > ' ' && c < 0x7f);
  }

  /** Returns the status code of a response. */
  int status() {
    return Integer.parseInt(startLine.get(1));
  }

  /**
   * Returns the value of the first header with the given name, or null if there is no such header.
   *
   * @param name the name in lower case
   */
  String header(String name) {
    return HttpMessage.findHeader(headers, name);
  }

  /**
   * Returns the value of the Content-Length header, or null if there is no such header.
   *
   * @throws BadMessageException if several Content-Length headers have different values
   */
  String contentLength() throws BadMessageException {
    String length = null;
    for (int i = 0; i < headers.size(); i += 2) {
      if (headers.get(i).equals(CONTENT_LENGTH)) {
        String value = headers.get(i + 1);
        if (length != null && !length.equals(value)) {
          throw new BadMessageException(HttpStatus.BAD_REQUEST, "two lengths");
        }
        length = value;
      }
    }
    return length;
  }

  /**
   * Returns the values of all Transfer-Encoding headers as one comma-separated list, or null if
   * there is no such header.
   */
  String transferEncoding() {
    String encoding = null;
    for (int i = 0; i < headers.size(); i += 2) {
      if (headers.get(i).equals(TRANSFER_ENCODING)) {
        String value = headers.get(i + 1);
        encoding = encoding == null ? value : encoding + ", " + value;
      }
    }
    return encoding;
  }
}
