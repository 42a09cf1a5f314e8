package loomreel.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Verifies how the limits of connections and jobs follow from the number of file descriptors.
 *
 * <p>The arguments of {@link DescriptorBudget} are: descriptors that are not reserved for Faktory,
 * connections to workers, jobs, accepted connections. The arguments of {@link
 * DescriptorBudget#divide} are: descriptors of the dispatcher, descriptors that are reserved for
 * Faktory, and whether another process shares the descriptors.
 */
class DescriptorBudgetTest {
  @Test
  void aQuarterOfTheConnectionsIsForWorkersAndJobsMayUseThreeQuartersOfTheOthers() {
    assertEquals(
        new DescriptorBudget(1024, 248, 558, 744), DescriptorBudget.divide(1024, 0, false));
  }

  @Test
  void aProcessThatSharesTheDescriptorsUsesHalfOfThem() {
    assertEquals(new DescriptorBudget(512, 120, 270, 360), DescriptorBudget.divide(1024, 0, true));
  }

  @Test
  void faktoryDescriptorsAreSubtractedBeforeTheDivision() {
    assertEquals(new DescriptorBudget(412, 95, 213, 285), DescriptorBudget.divide(1024, 200, true));
  }

  @Test
  void limitsAreComputedForTheMinimumNumberOfConnectionsIfThereAreFewerDescriptors() {
    assertEquals(new DescriptorBudget(10, 4, 9, 12), DescriptorBudget.divide(10, 0, false));
  }
}
