package org.jujuberouter.id;

/**
 * A point in the history of the platform's store.
 *
 * <p>A store that is restored from a copy begins a new era and gives out revisions anew, so a revision alone orders changes
 * only within one era. A change of a later era is later than all changes of earlier ones.
 *
 * @param era the era in which the revision was given out; 0 if the store states none
 * @param revision the revision; 0 before the first change
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** The position of a view that has not been read yet. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    /** Returns the position of a revision in an era. */
    public static StorePosition of(long era, long revision) {
        return new StorePosition(era, revision);
    }

    /** Returns whether this is the position of a view that has been read. */
    public boolean isKnown() {
        return revision > 0;
    }

    /** Returns whether both positions have an era or both have none; others cannot be put in order. */
    public boolean isComparableTo(StorePosition other) {
        return (era == 0) == (other.era == 0);
    }

    /** Returns whether the store reached this position after the other one. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns whether a view at this position has all changes up to the other one, as far as the store still has them. */
    public boolean includes(StorePosition other) {
        return compareTo(other) >= 0;
    }

    @Override
    public int compareTo(StorePosition other) {
        return era == other.era ? Long.compare(revision, other.revision) : Long.compare(era, other.era);
    }

    @Override
    public String toString() {
        return era + "/" + revision;
    }
}
