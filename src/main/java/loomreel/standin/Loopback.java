package loomreel.standin;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Addresses on the IPv4 loopback interface, where all stand-ins run. */
public final class Loopback {
  private static final byte[] ADDRESS = {127, 0, 0, 1};

  private Loopback() {}

  /** 127.0.0.1, without a lookup. */
  public static InetAddress address() {
    try {
      return InetAddress.getByAddress(ADDRESS);
    } catch (UnknownHostException e) {
      throw new IllegalStateException("four bytes are an IPv4 address", e);
    }
  }

  /** An address of 127.0.0.1. */
  public static InetSocketAddress address(int port) {
    return new InetSocketAddress(address(), port);
  }
}
