import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** Clients, who call through one entry. */
final class Caller {
    /** An answer; status 0 for none. */
    record Answer(int status, String body) {
    }

    private static final Duration WAIT = Duration.ofMillis(3_000);
    private final HttpClient client = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(1)).build();
    private final Record record;

    Caller(Record record) {
        this.record = record;
    }

    Answer call(Entry entry, String method, String path, String key, String body) {
        // The platform's host name stands in the path of the queue; the header Host is the address on loopback.
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + entry.caller + path)).timeout(WAIT)
            .header("X-Verbenagauge-Deadline-Ms", "3000").header("Content-Type", "application/json");
        if (key != null) request.header("X-Verbenagauge-Credential", key);
        request.method(method, body == null ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofString(body));
        Answer answer;
        try {
            HttpResponse<String> got = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            answer = new Answer(got.statusCode(), got.body());
        } catch (Exception e) {
            answer = new Answer(0, e.toString());
        }
        record.line(entry.name + " <- " + method + " " + path + (body == null ? "" : " " + body) + " -> "
            + answer.status() + " " + answer.body());
        return answer;
    }

    boolean isReady(Entry entry) {
        try {
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + entry.readiness + "/v1/readiness"))
                .timeout(Duration.ofSeconds(1)).build();
            return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode() == 200;
        } catch (Exception e) {
            return false;
        }
    }
}
