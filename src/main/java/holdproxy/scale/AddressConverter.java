package holdproxy.scale;

import holdproxy.net.Config;
import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;

/** Converts a command-line option of the form {@code IP:PORT}. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        return Config.address(text, "an address");
    }
}
