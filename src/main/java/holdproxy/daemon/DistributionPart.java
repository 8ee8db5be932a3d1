package holdproxy.daemon;

/** A process's part in the distribution of published changes, which depends on its role. */
interface DistributionPart {
    /** Starts the part for the configured role; {@code consensus} is null without a consensus group. */
    static DistributionPart start(
            String name,
            DistributionSettings settings,
            PublishedConfiguration own,
            FreshnessReporter freshness,
            ConsensusPart consensus) {
        return settings.role() == DistributionSettings.Role.CONTROL
                ? ControlMachine.start(name, settings, own, freshness, consensus)
                : SubscribedProcess.start(name, settings, own, freshness, consensus);
    }

    /** Stops on shutdown; its subscribers switch to other sources. */
    void stop();
}
