package loomreel.decision;

/**
 * A mean that starts from a guess: an arithmetic mean of the first {@value #MAX_COUNT} values, and an
 * exponentially weighted one from then on.
 */
final class MovingAverage {
  private static final int MAX_COUNT = 100;

  private double mean;
  private int count;

  MovingAverage(double initialMean) {
    mean = initialMean;
  }

  void add(double value) {
    count = Math.min(MAX_COUNT, count + 1);
    mean += (value - mean) / (count + 1);
  }

  double mean() {
    return mean;
  }
}
