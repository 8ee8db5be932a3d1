package holdproxy.scale;

import holdproxy.net.Config;
import java.net.InetSocketAddress;
import picocli.CommandLine.ITypeConverter;

/** Reads an address of digits and its port. */
final class AddressConverter implements ITypeConverter<InetSocketAddress> {
    @Override
    public InetSocketAddress convert(String text) {
        return Config.address(text, "an address");
    }
}
