package loomreel.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Verifies how the limits of connections and jobs follow from the number of file descriptors. */
class DescriptorBudgetTest {
  @Test
  void workersGetAQuarterOfTheConnectionsAndJobsGetThreeQuartersOfTheRest() {
    assertEquals(
        new DescriptorBudget(1024, 248, 558, 744), DescriptorBudget.divide(1024, 0, false));
  }

  @Test
  void eachOfTwoProcessesGetsHalfOfTheDescriptors() {
    assertEquals(new DescriptorBudget(512, 120, 270, 360), DescriptorBudget.divide(1024, 0, true));
  }

  @Test
  void faktoryDescriptorsAreSubtractedBeforeTheDivision() {
    assertEquals(new DescriptorBudget(412, 95, 213, 285), DescriptorBudget.divide(1024, 200, true));
  }

  @Test
  void theMinimumNumberOfConnectionsIsBudgetedIfThereAreFewerDescriptors() {
    assertEquals(new DescriptorBudget(10, 4, 9, 12), DescriptorBudget.divide(10, 0, false));
  }
}
