package review;

import java.nio.file.Path;

/** Runs a case: exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
abstract class Case {
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int NOT_RUN = 2;
    private static final long LIMIT_MS = 117_000;

    /** Returns how the case ended. */
    abstract int run(Site site, Record record, boolean trouble) throws Exception;

    static void main(Case c, String[] args) {
        int code = NOT_RUN;
        try {
            Record record = new Record(Path.of(args[0], "record.txt"));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            record.line(trouble ? "with the disruption" : "without the disruption");
            Thread.ofPlatform().daemon().start(() -> {
                try {
                    Thread.sleep(LIMIT_MS);
                } catch (InterruptedException e) {
                    return;
                }
                record.line("the case took too long");
                System.exit(NOT_RUN);
            });
            try (Site site = new Site(record)) {
                code = c.run(site, record, trouble);
                record.line(code == HELD ? "the rule held" : code == BROKEN ? "the rule was broken" : "not run");
            } catch (Exception e) {
                record.line("the case could not run: " + e);
                e.printStackTrace();
            }
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(code);
    }
}
