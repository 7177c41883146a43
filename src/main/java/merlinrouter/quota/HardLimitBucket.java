package merlinrouter.quota;

import merlinrouter.settings.QuotaPlan;

/**
 * The token bucket of a customer's hard limit. It has to hold whatever the other gateways do, so
 * each gateway keeps to its part of the rate and the burst. It starts empty: a restarted gateway
 * cannot know what it admitted before.
 */
final class HardLimitBucket {
  private final double fleetUnitsPerSecond;
  private final double capacityUnits;
  private final int gateways;
  private double units;

  HardLimitBucket(QuotaPlan plan, int gateways) {
    this.gateways = gateways;
    fleetUnitsPerSecond = plan.hardLimitUnitsPerSecond();
    capacityUnits = plan.hardLimitBurstUnits() / gateways;
  }

  void refill(double seconds) {
    units = Math.min(capacityUnits, units + seconds * fleetUnitsPerSecond / gateways);
  }

  /** Whether a request of some units would exceed the limit now. */
  boolean exceededBy(double requested) {
    return fleetUnitsPerSecond > 0 && units < requested;
  }

  /** Seconds until a request that exceeds the limit would pass. */
  double secondsUntilAvailable(double requested) {
    return (requested - units) * gateways / fleetUnitsPerSecond;
  }

  /** Takes units; negative units are given back. */
  void take(double taken) {
    units -= taken;
  }

  /** Whether a new bucket could not hold more; a plan without a limit has nothing to hold. */
  boolean isFull() {
    return fleetUnitsPerSecond <= 0 || units >= capacityUnits;
  }
}
