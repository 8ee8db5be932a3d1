package holdproxy.net;

import holdproxy.input.BadInput;
import holdproxy.policy.Router;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Replacing the settings of a running proxy: what may change, and what is kept of the old ones. */
final class SettingsReload {
    private SettingsReload() {}

    /** Throws a {@link BadInput} that names a value that a running proxy cannot apply. */
    static void check(Router.Settings inUse, Router.Settings next) {
        reject(
                inUse.cacheAside != next.cacheAside,
                "settings.familyInfo.mode cannot change while the proxy runs");
        reject(
                inUse.originKind != next.originKind,
                "settings.familyInfo.originKind cannot change while the proxy runs");
        reject(
                inUse.subscribesToNodes != next.subscribesToNodes,
                "settings.registryMode cannot change while the proxy runs");
        Set<String> names = new HashSet<>();
        for (Router.RequestClass c : next.classes) {
            reject(c.deadlineUs <= 0, "class '" + c.name + "' needs a deadline above 0");
            reject(
                    c.name.isEmpty() || !names.add(c.name),
                    "class names must be set and unique: '" + c.name + "'");
        }
    }

    private static void reject(boolean bad, String message) {
        if (bad) {
            throw new BadInput(message);
        }
    }

    /**
     * Orders the next tenants so that each keeps its index, and with it the state learnt for it. The index
     * of a removed tenant goes to the next new one; until then it has a tenant without name and quota.
     */
    static Router.Tenant[] keepTenantIndexes(Router.Tenant[] inUse, Router.Tenant[] next) {
        List<Router.Tenant> added = new ArrayList<>(Arrays.asList(next));
        List<Router.Tenant> ordered = new ArrayList<>();
        for (Router.Tenant old : inUse) {
            Router.Tenant same =
                    added.stream().filter(t -> t.name.equals(old.name)).findFirst().orElse(null);
            added.remove(same);
            ordered.add(same);
        }
        for (int i = 0; i < ordered.size(); i++) {
            if (ordered.get(i) == null) {
                ordered.set(i, added.isEmpty() ? new Router.Tenant() : added.remove(0));
            }
        }
        ordered.addAll(added);
        return ordered.toArray(Router.Tenant[]::new);
    }

    /** The next classes, followed by those in use that were dropped. */
    static Router.RequestClass[] withDropped(
            Router.RequestClass[] inUse, Router.RequestClass[] next) {
        List<Router.RequestClass> all = new ArrayList<>(Arrays.asList(next));
        for (Router.RequestClass old : inUse) {
            if (all.stream().noneMatch(c -> c.name.equals(old.name))) {
                all.add(old);
            }
        }
        return all.toArray(Router.RequestClass[]::new);
    }
}
