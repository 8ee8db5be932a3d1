package holdproxy.fanout;

import holdproxy.fanout.AppendResult.Reason;
import holdproxy.fanout.AppendResult.Refused;
import java.util.Set;

/** Checks that a publication is well-formed and within the limits, independent of the log's state. */
final class PublicationCheck {
    private PublicationCheck() {}

    /** Returns null if the publication is valid. */
    static Refused check(Publication publication, FanoutSettings.Limits limits) {
        if (publication.id().isEmpty()
                || SizeEstimate.utf8Length(publication.id()) > limits.nameBytes()) {
            return new Refused(
                    Reason.INVALID,
                    "the identifier of a publication must have 1 to "
                            + limits.nameBytes()
                            + " bytes");
        }
        int keys = publication.puts().size() + publication.deletes().size();
        if (keys == 0) {
            return new Refused(Reason.INVALID, "the publication has neither puts nor deletes");
        }
        if (keys > limits.changeKeys()) {
            return new Refused(
                    Reason.TOO_LARGE, keys + " keys exceed the limit of " + limits.changeKeys());
        }
        Refused refused = checkKeys(publication, limits);
        if (refused != null) {
            return refused;
        }
        int size = SizeEstimate.ofChange(publication.puts(), publication.deletes());
        return size <= limits.changeBytes()
                ? null
                : new Refused(
                        Reason.TOO_LARGE,
                        size + " bytes exceed the limit of " + limits.changeBytes());
    }

    private static Refused checkKeys(Publication publication, FanoutSettings.Limits limits) {
        for (var put : publication.puts().entrySet()) {
            if (publication.deletes().contains(put.getKey())) {
                return new Refused(
                        Reason.INVALID, "key " + put.getKey() + " is both put and deleted");
            }
            if (put.getValue().size() > limits.valueBytes()) {
                return new Refused(
                        Reason.TOO_LARGE,
                        "the value of "
                                + put.getKey()
                                + " has "
                                + put.getValue().size()
                                + " bytes, the limit is "
                                + limits.valueBytes());
            }
        }
        Refused refused = checkKeyLengths(publication.puts().keySet(), limits);
        return refused != null ? refused : checkKeyLengths(publication.deletes(), limits);
    }

    private static Refused checkKeyLengths(Set<String> keys, FanoutSettings.Limits limits) {
        for (String key : keys) {
            if (key.isEmpty() || SizeEstimate.utf8Length(key) > limits.keyBytes()) {
                return new Refused(
                        Reason.INVALID,
                        "a key must have 1 to " + limits.keyBytes() + " bytes: " + key);
            }
        }
        return null;
    }
}
