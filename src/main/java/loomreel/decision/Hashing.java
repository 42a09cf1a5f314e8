package loomreel.decision;

/** Hash functions that return the same result for the same input at every dispatcher. */
final class Hashing {
  private Hashing() {}

  /** Mixes the bits of a hash with the finalizer of SplitMix64. */
  static long mix(long value) {
    long mixed = value + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }

  /** Mixes a hash and maps it to a number greater than 0 and at most 1. */
  static double toUnitInterval(long hash) {
    return ((mix(hash) >>> 11) + 1) * 0x1.0p-53;
  }

  /**
   * Returns the hash of a text, which is the mixed FNV-1a hash of the UTF-16 code units of the
   * text.
   */
  static long stringHash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return mix(hash);
  }
}
