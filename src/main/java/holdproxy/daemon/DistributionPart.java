package holdproxy.daemon;

/** What a process has to do with the distribution of published changes, by its role. */
interface DistributionPart {
    /** Starts what the file asks for; {@code consensus}: null where there is none. */
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

    /** The process ends: whom it serves goes elsewhere. */
    void end();
}
