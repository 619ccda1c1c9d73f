package org.jujuberouter.supervisor;

/** Determines which children are restarted when one of them terminates. */
public sealed interface RestartStrategy {
    /** Returns whether a child is restarted when the child at index {@code ended} terminates. */
    boolean affects(int child, int ended);

    /** Restarts only the terminated child; for independent children. */
    record OneForOne() implements RestartStrategy {
        @Override
        public boolean affects(int child, int ended) {
            return child == ended;
        }
    }

    /** Stops all children and starts them again in order; for children that share state. */
    record OneForAll() implements RestartStrategy {
        @Override
        public boolean affects(int child, int ended) {
            return true;
        }
    }
}
