import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Takes at most so many channels for a server, and closes each further one at once. */
final class Gateway {
    private final ServerSocket server;
    private final String host;
    private final int backend;
    private final int most;
    final AtomicInteger open = new AtomicInteger();
    final AtomicInteger refused = new AtomicInteger();

    Gateway(String host, int backend, int most) throws IOException {
        this.host = host;
        this.backend = backend;
        this.most = most;
        server = new ServerSocket(0, 200, InetAddress.getByName(host));
        start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket outer = server.accept();
                if (open.get() >= most) {
                    refused.incrementAndGet();
                    outer.close();
                    continue;
                }
                open.incrementAndGet();
                outer.setTcpNoDelay(true);
                Socket inner = new Socket(host, backend);
                inner.setTcpNoDelay(true);
                AtomicInteger ends = new AtomicInteger();
                start(() -> copy(outer, inner, ends));
                start(() -> copy(inner, outer, ends));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void copy(Socket from, Socket to, AtomicInteger ends) {
        byte[] buffer = new byte[16_384];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count > 0; count = in.read(buffer)) out.write(buffer, 0, count);
        } catch (IOException e) {
            // The channel has ended.
        }
        try {
            from.close();
            to.close();
        } catch (IOException e) {
            // It is closed already.
        }
        if (ends.incrementAndGet() == 2) open.decrementAndGet();
    }
}
