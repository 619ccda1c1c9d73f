package org.jujuberouter.misc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Allocates the buffers into which a channel receives on the heap.
 *
 * <p>An unpooled direct buffer needs native memory and a cleaner for each read, which costs more than the copy that a
 * heap buffer needs. The size doubles when a read fills the buffer and halves when it leaves most of it empty.
 */
public final class HeapReceiveBuffers extends DefaultMaxMessagesRecvByteBufAllocator {
    private static final HeapReceiveBuffers INSTANCE = new HeapReceiveBuffers();

    /** Holds most requests and frames between instances. */
    private static final int MIN_BYTES = 2 * 1024;

    /** Limits the memory of a read from a connection that sends fast. */
    private static final int MAX_BYTES = 64 * 1024;

    private HeapReceiveBuffers() {}

    /** Returns the allocator; it is shared by all channels. */
    public static HeapReceiveBuffers allocator() {
        return INSTANCE;
    }

    @Override
    public RecvByteBufAllocator.ExtendedHandle newHandle() {
        return new SizedHandle();
    }

    private final class SizedHandle extends MaxMessageHandle {
        private int size = MIN_BYTES;

        @Override
        public int guess() {
            return size;
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.heapBuffer(size);
        }

        @Override
        public void lastBytesRead(int bytes) {
            super.lastBytesRead(bytes);
            if (bytes >= size) {
                size = Math.min(MAX_BYTES, size * 2);
            } else if (bytes < size / 4) {
                size = Math.max(MIN_BYTES, size / 2);
            }
        }
    }
}
