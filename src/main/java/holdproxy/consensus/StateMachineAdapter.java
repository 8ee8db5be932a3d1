package holdproxy.consensus;

import io.microraft.lifecycle.RaftNodeLifecycleAware;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Adapts a {@link StateMachine} to one MicroRaft node; a restarted node gets a new adapter. */
final class StateMachineAdapter
        implements io.microraft.statemachine.StateMachine, RaftNodeLifecycleAware {
    /** Operation that a leader starts its term with; no state machine has an equal one. */
    private static final String NEW_TERM = "a new term";

    private final StateMachine stateMachine;
    private final Consumer<StateMachineAdapter> onTerminate;

    StateMachineAdapter(StateMachine stateMachine, Consumer<StateMachineAdapter> onTerminate) {
        this.stateMachine = stateMachine;
        this.onTerminate = onTerminate;
    }

    @Override
    public Object runOperation(long index, Object operation) {
        return NEW_TERM.equals(operation) ? null : stateMachine.apply(index, operation);
    }

    @Override
    public void takeSnapshot(long index, Consumer<Object> parts) {
        stateMachine.snapshot().forEach(parts);
    }

    @Override
    public void installSnapshot(long index, List<Object> parts) {
        stateMachine.restore(new ArrayList<>(parts));
    }

    @Override
    public Object getNewTermOperation() {
        // a leader can commit entries of earlier terms only together with one of its own term
        return NEW_TERM;
    }

    @Override
    public void onRaftNodeTerminate() {
        onTerminate.accept(this);
    }
}
