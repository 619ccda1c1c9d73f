package org.jujuberouter.supervisor;

/** Which children are restarted when one of them has ended. */
public sealed interface RestartStrategy {
    /** Tells whether a child is restarted together with the one that ended. */
    boolean affects(int child, int ended);

    /** Restarts only the child that ended; for children that do not depend on each other. */
    record OneForOne() implements RestartStrategy {
        @Override
        public boolean affects(int child, int ended) {
            return child == ended;
        }
    }

    /** Stops all children and starts them in order; for children that share state. */
    record OneForAll() implements RestartStrategy {
        @Override
        public boolean affects(int child, int ended) {
            return true;
        }
    }
}
