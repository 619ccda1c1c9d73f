package org.jujuberouter.platform;

import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.jujuberouter.http.JsonReply;

/**
 * The era that the answers of the store state.
 *
 * <p>An answer without a valid era belongs to the latest known one. An answer of an earlier era was given before the store
 * was restored and arrived late, so it says nothing of the present state.
 */
final class StoreEra {
    private static final Pattern NUMBER = Pattern.compile("[0-9]{1,18}");

    private long latest;

    private StoreEra() {}

    /** Returns the era before the first answer. */
    static StoreEra unknown() {
        return new StoreEra();
    }

    /** Returns the latest era that an answer stated, or 0 if none did. */
    long latest() {
        return latest;
    }

    /** Returns the era of an answer, and notes it; empty if the answer is of an era before the latest. */
    OptionalLong of(JsonReply.Response response) {
        String stated = response.headers().get(PlatformHeaders.STORE_ERA, "").strip();
        if (!NUMBER.matcher(stated).matches()) {
            return OptionalLong.of(latest);
        }
        long era = Long.parseLong(stated);
        if (era < latest) {
            return OptionalLong.empty();
        }
        latest = era;
        return OptionalLong.of(era);
    }
}
