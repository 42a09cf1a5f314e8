package loomreel.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Verifies how the descriptors that the platform grants are divided. */
class DescriptorBudgetTest {
  @Test
  void workersGetAQuarterOfTheConnectionsAndJobsGetThreeQuartersOfTheRest() {
    assertEquals(
        new DescriptorBudget(1024, 248, 558, 744), DescriptorBudget.divide(1024, 0, false));
  }

  @Test
  void eachOfTwoProcessesGetsHalf() {
    assertEquals(new DescriptorBudget(512, 120, 270, 360), DescriptorBudget.divide(1024, 0, true));
  }

  @Test
  void faktoryDescriptorsAreSubtractedBeforeTheDivision() {
    assertEquals(new DescriptorBudget(412, 95, 213, 285), DescriptorBudget.divide(1024, 200, true));
  }

  @Test
  void theMinimumOfConnectionsIsBudgetedIfFewerDescriptorsAreGranted() {
    assertEquals(new DescriptorBudget(10, 4, 9, 12), DescriptorBudget.divide(10, 0, false));
  }
}
