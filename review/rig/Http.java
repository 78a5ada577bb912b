import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP/1.1 server on a loopback address whose channels can go silent, and a client of one call a channel. */
final class Http {
    static final String HOST = "127.0.0.1";

    record Answer(int status, String body) {}

    record Call(Channel channel, String method, String path, Map<String, String> query, Map<String, String> headers,
                byte[] body) {}

    interface Handler {
        /** Null: the call is never answered. */
        Answer handle(Call call) throws Exception;
    }

    /** One channel of a peer. */
    static final class Channel {
        final Socket socket;
        /** Nothing is read or written any more, and the channel stays open. */
        volatile boolean isSilent;
        /** Path of the call that waits for its answer. */
        volatile String open = "";

        Channel(Socket socket) {
            this.socket = socket;
        }
    }

    private final ServerSocket server;
    private final Handler handler;
    final Set<Channel> channels = ConcurrentHashMap.newKeySet();
    /** Every channel is silent, those that open later too. */
    volatile boolean isCut;

    Http(Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket(0, 500, InetAddress.getByName(HOST));
        daemon(this::accept);
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    String address() {
        return HOST + ":" + server.getLocalPort();
    }

    /** Cuts the peers off: what they send is lost, and they hear nothing. */
    void cut() {
        isCut = true;
    }

    /** Ends the cut; channels from before are gone. */
    void heal() {
        isCut = false;
        channels.forEach(channel -> close(channel.socket));
    }

    /** Ends as a process that has gone: its port is free and its channels are closed. */
    void close() {
        try {
            server.close();
        } catch (IOException e) {
            // It is closed.
        }
        channels.forEach(channel -> close(channel.socket));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                Channel channel = new Channel(socket);
                channels.add(channel);
                daemon(() -> serve(channel));
            }
        } catch (IOException e) {
            // The program ends.
        }
    }

    private boolean isMute(Channel channel) {
        return isCut || channel.isSilent;
    }

    private void serve(Channel channel) {
        try {
            InputStream in = new BufferedInputStream(channel.socket.getInputStream());
            OutputStream out = channel.socket.getOutputStream();
            while (true) {
                String first = line(in);
                if (first == null || first.isEmpty()) break;
                Map<String, String> headers = headers(in);
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                if (isMute(channel)) break;
                String[] words = first.split(" ");
                String path = words[1].split("\\?")[0];
                channel.open = path + "?" + (words[1].contains("?") ? words[1].substring(words[1].indexOf('?') + 1) : "");
                Answer answer = handler.handle(new Call(channel, words[0], path, query(words[1]), headers, body));
                channel.open = "";
                if (answer == null || isMute(channel)) break;
                byte[] bytes = answer.body.getBytes(StandardCharsets.UTF_8);
                String head = "HTTP/1.1 " + answer.status + " x\r\nContent-Type: application/json\r\nContent-Length: "
                        + bytes.length + "\r\n\r\n";
                ByteArrayOutputStream whole = new ByteArrayOutputStream();
                whole.write(head.getBytes(StandardCharsets.UTF_8));
                whole.write(bytes);
                out.write(whole.toByteArray());
                out.flush();
            }
            // A silent channel stays open until its peer closes it.
            if (isMute(channel)) while (in.read() >= 0) continue;
        } catch (Exception e) {
            if (!(e instanceof IOException)) System.err.println("stand-in: " + e);
        } finally {
            channels.remove(channel);
            close(channel.socket);
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed.
        }
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        if (!target.contains("?")) return query;
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int at = pair.indexOf('=');
            if (at < 0) continue;
            query.put(pair.substring(0, at), java.net.URLDecoder.decode(pair.substring(at + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int at = line.indexOf(':');
            headers.put(line.substring(0, at).toLowerCase(), line.substring(at + 1).trim());
        }
        return headers;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) return null;
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    /** Calls as a client does; null when there is no answer within [waitMillis]. */
    static Answer call(String address, String method, String path, Map<String, String> headers, String body,
                       int waitMillis) {
        int colon = address.indexOf(':');
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMillis);
            socket.connect(new InetSocketAddress(HOST, Integer.parseInt(address.substring(colon + 1))), waitMillis);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Connection: close\r\nContent-Type: application/json\r\nContent-Length: ")
                    .append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream whole = new ByteArrayOutputStream();
            whole.write(head.toString().getBytes(StandardCharsets.UTF_8));
            whole.write(bytes);
            socket.getOutputStream().write(whole.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            if (first == null) return null;
            Map<String, String> answered = headers(in);
            String length = answered.get("content-length");
            byte[] got = length == null ? in.readAllBytes() : in.readNBytes(Integer.parseInt(length));
            return new Answer(Integer.parseInt(first.split(" ")[1]), new String(got, StandardCharsets.UTF_8));
        } catch (IOException e) {
            return null;
        }
    }
}
