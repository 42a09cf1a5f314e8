package loomreel.decision;

/**
 * A running mean that starts from an initial value. Until {@value #MAX_COUNT} values have been
 * added, it is the arithmetic mean of the added values and the initial value. From then on, it is
 * an exponentially weighted mean.
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
