package loomreel.decision;

/**
 * A mean that starts from a guess: an arithmetic mean of the first {@value #WINDOW} values, and an
 * exponentially weighted one from then on.
 */
final class MovingAverage {
  private static final int WINDOW = 100;

  private double mean;
  private int count;

  MovingAverage(double guess) {
    mean = guess;
  }

  void add(double value) {
    count = Math.min(WINDOW, count + 1);
    mean += (value - mean) / (count + 1);
  }

  double mean() {
    return mean;
  }
}
