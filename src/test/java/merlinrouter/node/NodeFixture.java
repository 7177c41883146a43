package merlinrouter.node;

import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import merlinrouter.node.config.NodeConfigReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;

/**
 * Runs a node in the test's process, with scripted servers as its endpoints, discovery and counter,
 * and plain sockets as its clients, all on loopback.
 */
@Timeout(120)
public abstract class NodeFixture {
  /** The response to a watch: it stays open and reports no change. */
  static final String UNCHANGED_LIST =
      ScriptedServer.CHUNKED_RESPONSE_HEAD + ScriptedServer.chunk("\n");

  private static final int CLIENT_TIMEOUT_MILLIS = 60_000;

  private static final long PAUSE_BETWEEN_REQUESTS_MILLIS = 20;

  /** The resources that a test has opened; closed in reverse order after the test. */
  final List<AutoCloseable> resources = new ArrayList<>();

  ScriptedServer discovery;
  ScriptedServer counter;

  /** The script of the counter, which a test may replace. */
  volatile ScriptedServer.Script counterScript =
      request -> request.respond(ScriptedServer.okResponse("", "1"));

  @BeforeEach
  void startDiscoveryAndCounter() throws IOException {
    discovery = startServer(request -> request.respond(UNCHANGED_LIST));
    counter = startServer(request -> counterScript.handle(request));
  }

  @AfterEach
  void closeResources() throws Exception {
    for (int i = resources.size() - 1; i >= 0; i--) {
      resources.get(i).close();
    }
  }

  ScriptedServer startServer(ScriptedServer.Script script) throws IOException {
    ScriptedServer server = new ScriptedServer(script);
    resources.add(server);
    return server;
  }

  /** Starts a server that responds to each request with 200 and the same body. */
  ScriptedServer startOkServer(String body) throws IOException {
    return startServer(request -> request.respond(ScriptedServer.okResponse("", body)));
  }

  /** As {@link #startOkServer(String)}, but responds only once {@code proceed} has completed. */
  ScriptedServer startOkServer(String body, CompletableFuture<Void> proceed) throws IOException {
    return startServer(
        request -> {
          proceed.join();
          request.respond(ScriptedServer.okResponse("", body));
        });
  }

  /** Returns an entry of an endpoint list, as discovery sends it. */
  static String endpointJson(String id, String address, String phase, long upSinceMillis) {
    return "{\"id\":\""
        + id
        + "\",\"host_port\":\""
        + address
        + "\","
        + "\"locality\":\"a\",\"flavor\":\"m\",\"cell\":1,"
        + "\"phase\":\""
        + phase
        + "\",\"size\":1.0,\"up_since_ms\":"
        + upSinceMillis
        + "}";
  }

  /** Returns the entry of an endpoint that is ready and not in slow start. */
  static String readyEndpointJson(String id, String address) {
    return endpointJson(id, address, "Ready", 0);
  }

  /** Returns a list of all endpoints. */
  static String fullListJson(int revision, String... endpoints) {
    return listJson(revision, true, endpoints);
  }

  /** Returns an update, which lists only the endpoints that have changed. */
  static String updateJson(int revision, String... endpoints) {
    return listJson(revision, false, endpoints);
  }

  private static String listJson(int revision, boolean complete, String... endpoints) {
    return "{\"revision\":"
        + revision
        + ",\"complete\":"
        + complete
        + ",\"members\":["
        + String.join(",", endpoints)
        + "]}";
  }

  /** Returns the start of a response to a watch: its head and one list or update. */
  static String watchResponse(String list) {
    return ScriptedServer.CHUNKED_RESPONSE_HEAD + ScriptedServer.chunk(list + "\n");
  }

  /** Returns the configuration of a node that starts with the given endpoints. */
  String configJson(String... endpoints) throws IOException {
    return Files.readString(Path.of("src/test/resources/node.json"))
        .replace("DISCOVERY", discovery.address())
        .replace("COUNTER", counter.address())
        .replace("MEMBERS", String.join(",", endpoints));
  }

  /** Sets the number at every occurrence of a key; fails if the configuration does not change. */
  static String withSetting(String configJson, String key, long value) {
    String changed = configJson.replaceAll("\"" + key + "\": \\d+", "\"" + key + "\": " + value);
    assertNotEquals(configJson, changed, key + " is missing or already has this value");
    return changed;
  }

  /** Starts a node with the given servers as endpoints {@code s-0}, {@code s-1}, and so on. */
  EdgeNode startNode(ScriptedServer... servers) throws Exception {
    String[] endpoints = new String[servers.length];
    for (int i = 0; i < endpoints.length; i++) {
      endpoints[i] = readyEndpointJson("s-" + i, servers[i].address());
    }
    return startNode(configJson(endpoints));
  }

  EdgeNode startNode(String configJson) throws Exception {
    EdgeNode node = new EdgeNode(NodeConfigReader.parse(configJson));
    resources.add(node);
    node.start();
    return node;
  }

  /** Opens a client connection. */
  Socket connect(EdgeNode node) throws IOException {
    Socket client = connect((InetSocketAddress) node.address());
    resources.add(client);
    return client;
  }

  /** Opens a client connection, which the caller must close. */
  static Socket connect(InetSocketAddress node) throws IOException {
    Socket client = new Socket();
    client.setSoTimeout(CLIENT_TIMEOUT_MILLIS);
    client.connect(node, CLIENT_TIMEOUT_MILLIS);
    return client;
  }

  /** Returns the headers of a valid request; class {@code order} gets an idempotency key. */
  static Map<String, String> requestHeaders(
      String requestId, String requestClass, String timeoutMillis) {
    Map<String, String> headers =
        new TreeMap<>(
            Map.of(
                "Host",
                "app.svc",
                "X-Trace-Id",
                requestId,
                "X-Qos",
                requestClass,
                "X-Plan",
                "bulk",
                "Cookie",
                "customer=0000000000000007",
                "X-Expires-In-Ms",
                timeoutMillis,
                "X-Quota",
                "units=1,spread=1,first=0"));
    if (requestClass.equals("order")) {
      headers.put("Idempotency-Key", "key-" + requestId);
    }
    return headers;
  }

  static void writeRequest(
      Socket client, String methodAndPath, Map<String, String> headers, String body)
      throws IOException {
    String request =
        requestHead(methodAndPath, headers)
            + "Content-Length: "
            + body.length()
            + "\r\n\r\n"
            + body;
    writeText(client, request);
  }

  /** Writes a text, which may be a part of a request or several requests. */
  static void writeText(Socket client, String text) throws IOException {
    client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the request line and the headers, without the empty line that ends them. */
  static String requestHead(String methodAndPath, Map<String, String> headers) {
    StringBuilder head = new StringBuilder(methodAndPath).append(" HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return head.toString();
  }

  /** Writes a request with an idempotency key. */
  static void writeKeyedRequest(Socket client, String requestId) throws IOException {
    writeRequest(client, "POST /api?slot=4", requestHeaders(requestId, "order", "20000"), "book");
  }

  /** Returns the status code of a response; fails if the connection ended without one. */
  static String status(ScriptedServer.Message response) {
    assertNotNull(response, "the connection ended without a response");
    return response.startLine().split(" ")[1];
  }

  /** Reads the next response and returns its status code. */
  static String readStatus(Socket client) throws IOException {
    return status(ScriptedServer.readMessage(client));
  }

  /** Sends a request with an idempotency key and returns the status code of its response. */
  static String requestStatus(Socket client, String requestId) throws IOException {
    writeKeyedRequest(client, requestId);
    return readStatus(client);
  }

  /** Waits until a request is served, for example by an endpoint that discovery has yet to list. */
  void awaitServed(EdgeNode node) throws Exception {
    Socket client = connect(node);
    String status = "";
    for (int i = 0; !status.equals("200"); i++) {
      // Between requests the timeout of a test can interrupt it.
      Thread.sleep(PAUSE_BETWEEN_REQUESTS_MILLIS);
      status = requestStatus(client, "w-" + i);
    }
  }
}
