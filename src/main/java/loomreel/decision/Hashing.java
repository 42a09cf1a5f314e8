package loomreel.decision;

/** Hash functions that give the same result for the same input at every dispatcher. */
final class Hashing {
  private Hashing() {}

  /** Spreads the bits of a hash (the finaliser of SplitMix64). */
  static long mix(long value) {
    long mixed = value + 0x9E3779B97F4A7C15L;
    mixed = (mixed ^ mixed >>> 30) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
    return mixed ^ mixed >>> 31;
  }

  /** A hash as a number above 0, at most 1. */
  static double toUnitInterval(long hash) {
    return ((mix(hash) >>> 11) + 1) * 0x1.0p-53;
  }

  /** The FNV-1a hash of a text, mixed; the same at every dispatcher. */
  static long stringHash(String text) {
    long hash = 0xcbf29ce484222325L;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
    }
    return mix(hash);
  }
}
