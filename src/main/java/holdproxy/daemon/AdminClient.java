package holdproxy.daemon;

import holdproxy.input.BadInput;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/** HTTP client for the {@link AdminApi} of control machines. */
final class AdminClient {
    private static final Duration CONNECT_WITHIN = Duration.ofSeconds(2);
    private static final Duration ANSWER_WITHIN = Duration.ofSeconds(10);
    private static final int OK = 200;

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_WITHIN)
                    .build();

    /** Returns {@link AdminApi.Published} or {@link AdminApi.Failure}, the latter also if the call fails. */
    Object publish(InetSocketAddress machine, AdminApi.PublishRequest request) {
        HttpRequest.Builder call =
                call(machine, AdminApi.CHANGES_PATH)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(AdminApi.bytes(request)));
        try {
            HttpResponse<byte[]> answer = send(call);
            return answer.statusCode() == OK
                    ? AdminApi.read(AdminApi.Published.class, answer.body())
                    : AdminApi.read(AdminApi.Failure.class, answer.body());
        } catch (IOException | BadInput e) {
            return new AdminApi.Failure(problem(machine, e), true);
        }
    }

    /** Requests a control machine's versions; throws {@link IOException} if it does not answer. */
    AdminApi.Versions versions(InetSocketAddress machine) throws IOException {
        HttpResponse<byte[]> answer = send(call(machine, AdminApi.VERSIONS_PATH).GET());
        try {
            return AdminApi.read(AdminApi.Versions.class, answer.body());
        } catch (BadInput e) {
            throw new IOException(problem(machine, e), e);
        }
    }

    /** Describes a failed call in one line. */
    static String problem(InetSocketAddress machine, Exception failure) {
        String why =
                failure.getMessage() == null
                        ? failure.getClass().getSimpleName()
                        : failure.getMessage();
        return DistributionTransport.text(machine) + " does not answer: " + why;
    }

    private static HttpRequest.Builder call(InetSocketAddress machine, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + DistributionTransport.text(machine) + path))
                .timeout(ANSWER_WITHIN);
    }

    private HttpResponse<byte[]> send(HttpRequest.Builder call) throws IOException {
        try {
            return http.send(call.build(), HttpResponse.BodyHandlers.ofByteArray());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }
}
