package holdproxy.consensus;

import io.microraft.lifecycle.RaftNodeLifecycleAware;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** A {@link StateMachine} as one MicroRaft node sees it; a node that is begun again gets another one. */
final class StateMachineAdapter
        implements io.microraft.statemachine.StateMachine, RaftNodeLifecycleAware {
    /** What a leader begins its term with; no state machine has an operation like it. */
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
        // without an entry of its own term a leader can commit nothing of the terms before
        return NEW_TERM;
    }

    @Override
    public void onRaftNodeTerminate() {
        onTerminate.accept(this);
    }
}
