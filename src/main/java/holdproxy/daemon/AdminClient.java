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
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(10);
    private static final int OK = 200;

    private final HttpClient http =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();

    /** Returns {@link AdminApi.Published} or {@link AdminApi.Failure}, the latter also if the call fails. */
    Object publish(InetSocketAddress machine, AdminApi.PublishRequest request) {
        HttpRequest.Builder call =
                requestTo(machine, AdminApi.CHANGES_PATH)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofByteArray(AdminApi.toJson(request)));
        try {
            HttpResponse<byte[]> response = send(call);
            return response.statusCode() == OK
                    ? AdminApi.fromJson(AdminApi.Published.class, response.body())
                    : AdminApi.fromJson(AdminApi.Failure.class, response.body());
        } catch (IOException | BadInput e) {
            return new AdminApi.Failure(describeFailure(machine, e), true);
        }
    }

    /** Requests a control machine's versions; throws {@link IOException} if it does not answer. */
    AdminApi.Versions versions(InetSocketAddress machine) throws IOException {
        HttpResponse<byte[]> response = send(requestTo(machine, AdminApi.VERSIONS_PATH).GET());
        try {
            return AdminApi.fromJson(AdminApi.Versions.class, response.body());
        } catch (BadInput e) {
            throw new IOException(describeFailure(machine, e), e);
        }
    }

    /** Describes a failed call in one line. */
    static String describeFailure(InetSocketAddress machine, Exception failure) {
        String reason =
                failure.getMessage() == null
                        ? failure.getClass().getSimpleName()
                        : failure.getMessage();
        return DistributionTransport.formatAddress(machine) + " does not answer: " + reason;
    }

    private static HttpRequest.Builder requestTo(InetSocketAddress machine, String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://" + DistributionTransport.formatAddress(machine) + path))
                .timeout(REQUEST_TIMEOUT);
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
