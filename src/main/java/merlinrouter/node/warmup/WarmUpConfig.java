package merlinrouter.node.warmup;

import java.net.SocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import merlinrouter.model.Endpoint;
import merlinrouter.model.EndpointState;
import merlinrouter.node.config.EndpointEntry;
import merlinrouter.node.config.EndpointList;
import merlinrouter.node.config.NodeConfig;
import merlinrouter.settings.GatewaySettings;
import merlinrouter.settings.QuotaPlan;

/** Derives the warm-up node's configuration from that of the node that is to serve. */
final class WarmUpConfig {
  private WarmUpConfig() {}

  /**
   * Returns the configuration of the warm-up node.
   *
   * @param config the configuration of the node that is to serve
   * @param listen address on which the warm-up node listens
   * @param endpoints addresses on which the stub server listens
   */
  static NodeConfig of(NodeConfig config, SocketAddress listen, List<SocketAddress> endpoints) {
    SocketAddress stubServer = endpoints.get(0);
    return new NodeConfig(
        listen,
        stubServer,
        config.counter() == null ? null : stubServer,
        config.seed(),
        // Half, since both ends of each connection are in this process.
        config.maxSockets() / 2,
        config.memoryLimitBytes(),
        config.cores(),
        new EndpointList(1, true, entries(config, endpoints)),
        config.connectTimeoutNanos(),
        config.keepAliveNanos(),
        config.names(),
        withoutHardLimits(config.settings()));
  }

  /** Returns endpoints, one of which has just started, so that slow start is warmed up too. */
  private static List<EndpointEntry> entries(NodeConfig config, List<SocketAddress> addresses) {
    int zones = Math.max(1, config.names().zones().size());
    long nowNanos = TimeUnit.MILLISECONDS.toNanos(System.currentTimeMillis());
    List<EndpointEntry> entries = new ArrayList<>();
    for (int i = 0; i < addresses.size(); i++) {
      long startedAtNanos = i > 0 ? 0 : nowNanos;
      Endpoint endpoint =
          new Endpoint("warm-up-" + i, 1, i % zones, i, 0, EndpointState.READY, startedAtNanos);
      entries.add(new EndpointEntry(endpoint, addresses.get(i)));
    }
    return entries;
  }

  /**
   * Returns the settings without hard limits, whose token buckets start empty and would reject
   * requests that are sent immediately.
   */
  private static GatewaySettings withoutHardLimits(GatewaySettings settings) {
    List<QuotaPlan> plans = new ArrayList<>();
    for (QuotaPlan plan : settings.quotaPlans()) {
      plans.add(
          new QuotaPlan(
              plan.unitsPerSecond(),
              plan.burstUnits(),
              plan.maxConcurrentRequests(),
              plan.valueFactor(),
              plan.overQuotaValue(),
              plan.overQuotaCost(),
              0,
              0,
              0));
    }
    return new GatewaySettings(
        settings.gatewayNumber(),
        settings.gatewayCount(),
        settings.zone(),
        settings.eventIntervalNanos(),
        settings.weightsMeaningful(),
        settings.loadReportNames(),
        settings.requestClasses(),
        plans,
        settings.limits(),
        settings.counter(),
        settings.rules());
  }
}
