package review2;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The quota counter; it is never disturbed. */
final class CounterServer {
  private final ServerSocket listener = Kit.listen();
  private final Map<String, Double> totals = new HashMap<>();

  CounterServer() throws IOException {
    Kit.daemon(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        Kit.daemon(() -> serve(socket));
      }
    } catch (IOException e) {
      // The case ends.
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      socket.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(socket.getInputStream());
      Http.Message call = Http.read(in);
      while (call != null) {
        String uri = call.firstLine().split(" ")[1];
        String name = uri.substring("/tally/".length(), uri.indexOf('?'));
        double amount = Double.parseDouble(uri.replaceAll(".*[?&]n=([^&]*).*", "$1"));
        double total;
        synchronized (totals) {
          total = totals.merge(name, amount, Double::sum);
        }
        String body = String.format(Locale.ROOT, "%.3f", total);
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
        call = Http.read(in);
      }
    } catch (IOException e) {
      // The node has closed the connection.
    }
  }
}
