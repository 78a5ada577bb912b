import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** A small HTTP server. A handler that returns null leaves the call unanswered. */
final class Http {
    static {
        System.setProperty("sun.net.httpserver.nodelay", "true");
        // Idle channels stay open, as those of a sound server.
        System.setProperty("sun.net.httpserver.maxIdleConnections", "100000");
        System.setProperty("sun.net.httpserver.idleInterval", "300");
    }

    static final class Call {
        String method;
        String path;
        Map<String, String> query = new HashMap<>();
        Map<String, Object> body;
        HttpExchange exchange;

        String header(String name) {
            return exchange.getRequestHeaders().getFirst(name);
        }
    }

    static final class Answer {
        final int status;
        final Object body;

        Answer(int status, Object body) {
            this.status = status;
            this.body = body;
        }
    }

    interface Handler {
        Answer handle(Call call) throws Exception;
    }

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean isDead;

    Http(String host, int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress(host, port), 200);
        server.setExecutor(threads);
        server.createContext("/", exchange -> {
            try {
                Call call = new Call();
                call.exchange = exchange;
                call.method = exchange.getRequestMethod();
                call.path = exchange.getRequestURI().getRawPath();
                String raw = exchange.getRequestURI().getRawQuery();
                if (raw != null) {
                    for (String part : raw.split("&")) {
                        int cut = part.indexOf('=');
                        call.query.put(part.substring(0, cut), URLDecoder.decode(part.substring(cut + 1), StandardCharsets.UTF_8));
                    }
                }
                byte[] bytes = exchange.getRequestBody().readAllBytes();
                if (bytes.length > 0) call.body = Json.map(Json.read(new String(bytes, StandardCharsets.UTF_8)));
                Answer answer = handler.handle(call);
                if (answer == null || isDead) return;
                byte[] out = answer.body == null ? new byte[0] : Json.write(answer.body).getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status, out.length == 0 ? -1 : out.length);
                if (out.length > 0) exchange.getResponseBody().write(out);
                exchange.close();
            } catch (IOException e) {
                exchange.close();
            } catch (Exception e) {
                e.printStackTrace();
                exchange.close();
            }
        });
        server.start();
    }

    int port() {
        return server.getAddress().getPort();
    }

    void stop() {
        isDead = true;
        server.stop(0);
        threads.shutdown();
    }
}
