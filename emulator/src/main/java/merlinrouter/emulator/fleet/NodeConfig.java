package merlinrouter.emulator.fleet;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * The values of a node's configuration file that are added to the {@link NodeTemplate} or replaced
 * in it.
 *
 * @param gatewayNumber the node's number among all gateways, from 0
 * @param gatewayCount how many gateways there are
 * @param port the loopback port that the node listens on
 * @param discoveryAddress discovery's {@code host:port}
 * @param counterAddress the quota counter's {@code host:port}
 * @param knownEndpoints the endpoint list to start with, as JSON
 */
public record NodeConfig(
    int gatewayNumber,
    int gatewayCount,
    int port,
    String discoveryAddress,
    String counterAddress,
    String knownEndpoints) {
  private static final ObjectMapper JSON = new ObjectMapper();

  /** Seeds of consecutive nodes differ by this step: 2^64 divided by the golden ratio. */
  private static final long SEED_STEP = 0x9e3779b97f4a7c15L;

  private static final String NAME = "name";
  private static final String LISTEN_ADDRESS = "listen";
  private static final String DISCOVERY_ADDRESS = "discovery";
  private static final String COUNTER_ADDRESS = "counter";
  private static final String SEED = "seed";
  private static final String KNOWN_ENDPOINTS = "known";
  private static final String SETTINGS = "settings";
  private static final String GATEWAY_NUMBER = "my-number";
  private static final String GATEWAY_COUNT = "siblings";

  /** Returns the name of the node with the given number. */
  static String nodeName(int gatewayNumber) {
    return "n" + gatewayNumber;
  }

  /** Returns this configuration with discovery at another {@code host:port}. */
  public NodeConfig withDiscoveryAddress(String newDiscoveryAddress) {
    return new NodeConfig(
        gatewayNumber, gatewayCount, port, newDiscoveryAddress, counterAddress, knownEndpoints);
  }

  /** Returns this configuration with another endpoint list to start with, as JSON. */
  public NodeConfig withKnownEndpoints(String newKnownEndpoints) {
    return new NodeConfig(
        gatewayNumber, gatewayCount, port, discoveryAddress, counterAddress, newKnownEndpoints);
  }

  /** Returns the text of the configuration file. */
  String toJson() throws IOException {
    ObjectNode root = NodeTemplate.copy();
    root.put(NAME, nodeName(gatewayNumber))
        .put(LISTEN_ADDRESS, "127.0.0.1:" + port)
        .put(DISCOVERY_ADDRESS, discoveryAddress)
        .put(COUNTER_ADDRESS, counterAddress)
        .put(SEED, String.format("%016x", SEED_STEP * (gatewayNumber + 1)));
    root.set(KNOWN_ENDPOINTS, JSON.readTree(knownEndpoints));
    ((ObjectNode) root.get(SETTINGS))
        .put(GATEWAY_NUMBER, gatewayNumber)
        .put(GATEWAY_COUNT, gatewayCount);
    return root.toString();
  }
}
