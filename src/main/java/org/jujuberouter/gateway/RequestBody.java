package org.jujuberouter.gateway;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * The body of one request, whose memory counts towards the budget of the instance until its last reference is released.
 *
 * <p>Received bytes are copied into blocks of known size. The buffers into which a channel receives can be far larger
 * than their content if a caller sends little at a time, so retaining them would hold more than is counted.
 */
final class RequestBody extends CompositeByteBuf {
    /** Written to an endpoint as one piece each, which the JDK copies out of the heap. */
    private static final int BLOCK_BYTES = 64 * 1024;

    /** Size of the first block of a body of unknown length; further ones double up to the largest size. */
    private static final int FIRST_BLOCK_BYTES = 2 * 1024;

    private final BodyBudget.Account account;
    private long reserved;

    private RequestBody(BodyBudget.Account account) {
        super(UnpooledByteBufAllocator.DEFAULT, false, Integer.MAX_VALUE);
        this.account = account;
    }

    /** Returns an empty body. */
    static RequestBody in(BodyBudget budget) {
        return new RequestBody(budget.open());
    }

    /** Reserves memory for a body whose length is known; returns false if it does not fit. */
    boolean reserve(long bytes) {
        if (!account.resize(bytes)) {
            return false;
        }
        reserved = bytes;
        return true;
    }

    /** Appends a copy of the readable bytes; returns false if they do not fit. */
    boolean append(ByteBuf piece) {
        while (piece.isReadable()) {
            if (!isWritable() && !addBlock(piece.readableBytes())) {
                return false;
            }
            writeBytes(piece, Math.min(piece.readableBytes(), writableBytes()));
        }
        return true;
    }

    private boolean addBlock(int wanted) {
        int capacity = capacity();
        long left = reserved - capacity;
        if (left <= 0) {
            long block = Math.min(BLOCK_BYTES, Math.max(wanted, Math.max(FIRST_BLOCK_BYTES, capacity)));
            if (!reserve(capacity + block)) {
                return false;
            }
            left = block;
        }
        capacity(capacity + (int) Math.min(BLOCK_BYTES, left));
        return true;
    }

    @Override
    protected void deallocate() {
        super.deallocate();
        account.close();
    }
}
