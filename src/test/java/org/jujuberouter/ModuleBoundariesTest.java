package org.jujuberouter;

import static com.tngtech.archunit.base.DescribedPredicate.describe;
import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Guards against decision logic that depends on sockets, threads or the wall clock and so cannot be replayed on a virtual
 * clock, and against package dependencies that the table in section 2 of docs/design.md does not allow.
 */
class ModuleBoundariesTest {
    private static final String ROOT = "org.jujuberouter";
    private static final Path SOURCES = Path.of("src", "main", "java", "org", "jujuberouter");
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages(ROOT);

    /** The packages that each decision package may use besides itself, {@code id} and {@code misc}. */
    private static final Map<String, Set<String>> DECISION_PACKAGES = Map.ofEntries(
            Map.entry("membership", Set.of()),
            Map.entry("ownership", Set.of("store")),
            Map.entry("admission", Set.of()),
            Map.entry("routing", Set.of()),
            Map.entry("limits", Set.of()),
            Map.entry("configcheck", Set.of("catalog")),
            Map.entry("dispatch", Set.of("catalog")),
            Map.entry("duty", Set.of()),
            Map.entry("memory", Set.of()),
            Map.entry("outcome", Set.of("error", "store")),
            Map.entry("orders", Set.of("store", "settings")),
            Map.entry("quarantine", Set.of()),
            Map.entry("scaling", Set.of("catalog", "dispatch", "duty")),
            Map.entry("stream", Set.of()),
            Map.entry("settings", Set.of("store")));

    private static final Set<String> PLATFORM_INTERFACE = Set.of(
            "PlatformStore",
            "MemberList",
            "ListedMember",
            "StoreEntry",
            "WriteOutcome",
            "LeaseId",
            "PlatformException");

    private static final DescribedPredicate<JavaClass> IO_AND_THREADS = describe(
            "a network, file, thread or executor class",
            c -> c.getPackageName().startsWith("java.net") && !c.getName().equals("java.net.URI")
                    || c.getPackageName().startsWith("com.sun.net")
                    || c.getPackageName().startsWith("java.nio.channels")
                    || c.getPackageName().startsWith("java.nio.file")
                    || c.getPackageName().equals("java.io") && !c.getName().endsWith("Exception")
                    || c.getName().matches("java\\.lang\\.(Thread|Process|Runtime|ProcessBuilder)(\\$.*)?")
                    || c.getName().matches("java\\.util\\.(Timer|concurrent\\.[A-Za-z]*(Execut|Future|Fork)).*"));

    /**
     * The one class that may block: {@code SettingsEditor.apply} sleeps between attempts. Operator commands call it on their
     * main thread, instances do not; {@code SettingsEditor.begin} offers the same steps without waiting.
     */
    private static final String BLOCKING_EDITOR = ROOT + ".settings.SettingsEditor";

    @Test
    void decisionPackagesUseNoSocketFileThreadOrExecutor() {
        noClasses()
                .that()
                .resideInAnyPackage(patterns(DECISION_PACKAGES.keySet()))
                .and()
                .doNotHaveFullyQualifiedName(BLOCKING_EDITOR)
                .should()
                .dependOnClassesThat(IO_AND_THREADS)
                .check(CLASSES);
    }

    @Test
    void theBlockingEditorOnlySleepsAndIsNotUsedByInstances() {
        noClasses()
                .that()
                .haveFullyQualifiedName(BLOCKING_EDITOR)
                .should()
                .dependOnClassesThat(IO_AND_THREADS.and(not(type(Thread.class))))
                .orShould()
                .callMethodWhere(describe(
                        "calls a method of Thread other than sleep",
                        call -> call.getTargetOwner().isEquivalentTo(Thread.class)
                                && !call.getName().equals("sleep")))
                .check(CLASSES);
        noClasses()
                .that()
                .resideOutsideOfPackages(ROOT + ".settings", ROOT + ".cli", ROOT + ".demo", ROOT + ".capacity")
                .should()
                .dependOnClassesThat(describe("SettingsEditor", c -> c.getName().equals(BLOCKING_EDITOR)))
                .check(CLASSES);
    }

    @Test
    void decisionPackagesReadTimeOnlyFromTheTicker() {
        noClasses()
                .that()
                .resideInAnyPackage(patterns(DECISION_PACKAGES.keySet()))
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(java.time.Instant.class, "now")
                .check(CLASSES);
    }

    @Test
    void decisionPackagesUseOnlyWhatTheDesignAllows() {
        DECISION_PACKAGES.forEach((name, allowed) -> {
            Set<String> all = new TreeSet<>(allowed);
            all.addAll(Set.of(name, "id", "misc"));
            noClasses()
                    .that()
                    .resideInAPackage(ROOT + "." + name + "..")
                    .should()
                    .dependOnClassesThat(resideInAPackage(ROOT + "..").and(not(resideInAnyPackage(patterns(all)))))
                    .check(CLASSES);
        });
    }

    @Test
    void decisionPackagesUseOnlyTheInterfaceOfThePlatform() {
        noClasses()
                .that()
                .resideInAnyPackage(patterns(DECISION_PACKAGES.keySet()))
                .should()
                .dependOnClassesThat(resideInAPackage(ROOT + ".store")
                        .and(describe(
                                "not part of the platform interface",
                                c -> !PLATFORM_INTERFACE.contains(topLevelName(c)))))
                .check(CLASSES);
    }

    /** Guards against wire names of the users' platform outside the package that adapts to it. */
    @Test
    void onlyThePlatformAdapterContainsWireNamesOfTheUsersPlatform() throws IOException {
        List<String> wireNames =
                List.of("X-Jujuberouter-", "kv-txn", "kv-watch", "op/config", "servers/", "PortRange", "duties/");
        try (Stream<Path> files = Files.walk(SOURCES)) {
            List<Path> offenders = files.filter(f -> f.toString().endsWith(".java"))
                    .filter(f -> !f.startsWith(SOURCES.resolve("platform")))
                    .filter(f -> wireNames.stream().anyMatch(n -> read(f).contains(n)))
                    .toList();
            assertEquals(List.of(), offenders);
        }
    }

    private static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void packagesHaveNoCycles() {
        SlicesRuleDefinition.slices()
                .matching(ROOT + ".(*)..")
                .should()
                .beFreeOfCycles()
                .check(CLASSES);
    }

    /** Guards against a design table that lacks packages or dependencies of the code. */
    @Test
    void dependenciesOfEveryPackageAreInTheDesignTable() throws IOException {
        Map<String, Set<String>> table = designTable();
        Map<String, Set<String>> undeclared = new TreeMap<>();
        for (JavaClass c : CLASSES) {
            String from = module(c);
            Set<String> allowed = table.getOrDefault(from, Set.of());
            c.getDirectDependenciesFromSelf().stream()
                    .map(d -> d.getTargetClass().getBaseComponentType())
                    .filter(t -> t.getPackageName().startsWith(ROOT + "."))
                    .map(ModuleBoundariesTest::module)
                    .filter(to -> !to.equals(from) && !allowed.contains(to) && !allowed.contains("all"))
                    .forEach(to -> undeclared
                            .computeIfAbsent(from, f -> new TreeSet<>())
                            .add(to));
        }
        assertEquals(Map.of(), undeclared, "dependencies that docs/design.md, section 2, does not allow");
        Set<String> modules = new TreeSet<>();
        CLASSES.forEach(c -> modules.add(module(c)));
        assertEquals(modules, new TreeSet<>(table.keySet()), "packages in docs/design.md, section 2");
    }

    @Test
    void everyPackageHasAPackageInfo() throws IOException {
        try (Stream<Path> files = Files.walk(SOURCES)) {
            List<Path> missing = files.filter(f -> f.toString().endsWith(".java"))
                    .map(Path::getParent)
                    .distinct()
                    .filter(d -> !Files.exists(d.resolve("package-info.java")))
                    .toList();
            assertEquals(List.of(), missing);
        }
    }

    private static Map<String, Set<String>> designTable() throws IOException {
        Map<String, Set<String>> table = new TreeMap<>();
        String page = Files.readString(Path.of("docs", "design.md"));
        String section = page.substring(page.indexOf("## 2. Modules"), page.indexOf("## 3. "));
        for (String line : section.lines().filter(l -> l.startsWith("| `")).toList()) {
            String[] cells = line.split("\\|");
            Set<String> allowed = new TreeSet<>(Arrays.asList(cells[3].strip().split(", ")));
            if (allowed.remove("store interface")) {
                allowed.add("store");
            }
            for (String name : cells[1].replace("`", "").strip().split(", ")) {
                table.put(name, allowed);
            }
        }
        return table;
    }

    private static String module(JavaClass c) {
        return c.getPackageName().substring(ROOT.length() + 1).split("\\.")[0];
    }

    private static String topLevelName(JavaClass c) {
        return c.getName().substring(c.getPackageName().length() + 1).split("\\$")[0];
    }

    private static String[] patterns(Set<String> modules) {
        return modules.stream().map(m -> ROOT + "." + m + "..").toArray(String[]::new);
    }
}
