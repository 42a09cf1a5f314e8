package loomreel.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class DecayingSumTest {
  private static final double TIME_CONSTANT_MICROS = 1000;
  private static final double TOLERANCE = 1e-9;

  private final DecayingSum sum = new DecayingSum(TIME_CONSTANT_MICROS);

  @Test
  void anEmptySumIsZeroAtAnyTime() {
    assertEquals(0, sum.valueAt(Long.MAX_VALUE / 2));
  }

  @Test
  void anAmountDecaysByAFactorOfEInOneTimeConstant() {
    sum.add(5, 100);

    assertEquals(5, sum.valueAt(100), TOLERANCE);
    assertEquals(5 / Math.E, sum.valueAt(1100), TOLERANCE);
  }

  @Test
  void aNewAmountIsAddedToTheDecayedSum() {
    sum.add(5, 0);
    sum.add(1, 1000);

    assertEquals(5 / Math.E + 1, sum.valueAt(1000), TOLERANCE);
  }
}
