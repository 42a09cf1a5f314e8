package loomreel.config;

import java.net.InetSocketAddress;

/** Parses socket addresses as they appear in configurations and in discovery's endpoint lists. */
public final class AddressParser {
  private static final String NUMERIC_HOST = "[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*";
  private static final String PORT = "[0-9]{1,5}";
  private static final int MAX_PORT = 65_535;

  private AddressParser() {}

  /**
   * Parses an IP address and a port, in the form {@code 127.0.0.1:8000} or {@code [::1]:8000}. Host
   * names are rejected, because there is no DNS.
   *
   * @throws IllegalArgumentException if the text does not have this form
   */
  public static InetSocketAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    String host = text.substring(0, Math.max(0, colon));
    String port = text.substring(colon + 1);
    if (host.startsWith("[") && host.endsWith("]")) {
      host = host.substring(1, host.length() - 1);
    }
    if (!host.matches(NUMERIC_HOST) || !port.matches(PORT) || Integer.parseInt(port) > MAX_PORT) {
      throw notAnAddress(text);
    }
    InetSocketAddress address = new InetSocketAddress(host, Integer.parseInt(port));
    if (address.isUnresolved()) {
      throw notAnAddress(text);
    }
    return address;
  }

  private static IllegalArgumentException notAnAddress(String text) {
    return new IllegalArgumentException("not an address: " + text);
  }
}
