import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a free port of the loopback address. */
final class Web {
    /** A request. */
    record Ask(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.get(name.toLowerCase());
        }
    }

    /** An answer. */
    record Reply(int status, String body) {
    }

    interface Handler {
        /** Returns the answer, or null to end the channel without one. */
        Reply handle(Ask ask) throws Exception;
    }

    private static final ExecutorService THREADS = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(null, task, "web", 256 * 1024);
        thread.setDaemon(true);
        return thread;
    });

    private final HttpServer server;

    Web(Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 4_096);
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /** Closes the port and all channels, as the end of a process does. */
    void close() {
        server.stop(0);
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        Map<String, String> headers = new HashMap<>();
        exchange.getRequestHeaders().forEach((name, values) -> headers.put(name.toLowerCase(), values.get(0)));
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int cut = pair.indexOf('=');
                query.put(pair.substring(0, cut), URLDecoder.decode(pair.substring(cut + 1), StandardCharsets.UTF_8));
            }
        }
        Reply reply;
        try {
            reply = handler.handle(
                new Ask(exchange.getRequestMethod(), exchange.getRequestURI().getPath(), query, headers, body));
        } catch (Exception e) {
            e.printStackTrace();
            reply = new Reply(500, "{}");
        }
        if (reply == null) {
            exchange.close();
            return;
        }
        byte[] bytes = reply.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(reply.status(), bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }
}
