package merlinrouter.quota;

import merlinrouter.settings.QuotaPlan;

/**
 * Token bucket of a customer's hard limit. The limit must hold independently of the other gateways,
 * so each gateway enforces its equal share of the rate and the burst. The bucket is empty at the
 * start of the gateway, because a restarted gateway has no record of the units that it admitted
 * before.
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

  /** Returns whether a request of this many units would exceed the limit now. */
  boolean exceededBy(double requested) {
    return fleetUnitsPerSecond > 0 && units < requested;
  }

  /** Returns the seconds until a request that exceeds the limit now would be within it. */
  double secondsUntilAvailable(double requested) {
    return (requested - units) * gateways / fleetUnitsPerSecond;
  }

  /** Takes units; negative units are given back. */
  void take(double taken) {
    units -= taken;
  }

  /**
   * Returns whether the bucket is full, so that no new bucket could hold more. The bucket of a plan
   * without a hard limit always counts as full.
   */
  boolean isFull() {
    return fleetUnitsPerSecond <= 0 || units >= capacityUnits;
  }
}
