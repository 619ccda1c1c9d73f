package org.jujuberouter.configcheck;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against mistakes in a configuration that reach the store and are noticed only by callers. */
class ConfigurationErrorsTest {
    @Test
    void findsNothingInAValidDocument() {
        assertEquals(List.of(), Documents.findings(Documents.VALID));
    }

    /** Instances use a default for a value of the wrong type, which nobody would notice. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "/Version|\"7\"",
                "/Version|-1",
                "/Routes|{}",
                "/Routes/1|5",
                "/Routes/1|null",
                "/Routes/0/Name|7",
                "/Routes/0/Name|null",
                "/Routes/0/Host|\" \"",
                "/Routes/0/Prefix|7",
                "/Routes/0/Type|\"stream\"",
                "/Routes/0/StreamResume|\"yes\"",
                "/Routes/0/TimeoutMs|\"soon\"",
                "/Routes/0/TimeoutMs|0",
                "/Routes/0/TimeoutMs|99999999999999999999",
                "/Routes/0/TargetLatencyMs|-1",
                "/Routes/0/TargetGapMs|2.5",
                "/Routes/0/Priority|-1",
                "/Routes/0/MaxAttempts|0",
                "/Routes/0/Public|1",
                "/Routes/0/Backends|[]",
                "/Routes/0/Backends/0/Service|7",
                "/Routes/0/Backends/0/Weight|\"many\"",
                "/Routes/0/Backends/0/Weight|-1",
                "/Services|{\"a\":{\"Name\":\"big\"},\"b\":{\"Name\":\"small\"},\"c\":{\"Name\":\"ledger\"}}",
                "/Services/0/HealthCheck|5",
                "/Services/0/MaxConnections|-1",
                "/Services/0/ColdPerS|-1",
                "/Services/0/ColdPerS|1e400",
                "/Services/0/Engine|7",
                "/Services/0/Engine/Slots|0",
                "/Services/0/Engine/KvCapacityTokens|0",
                "/Services/0/Engine/Stride|0",
                "/Services/0/Engine/step_ms|-1",
                "/Services/0/Engine/per_seq_ms|-1",
                "/Services/0/Engine/context_per_k|-1",
                "/Services/0/Engine/read_per_s|0",
                "/Services/0/Engine/pairs_per_m|-1",
                "/Services/0/Engine/chunk|0",
                "/Services/0/Engine/transfer_cost_per_mb|-1",
                "/Services/0/Engine/delays|5",
                "/Services/0/Engine/delays/0|{\"Source\":\"north\"}",
                "/Services/0/Engine/delays/0/delay_ms|-1",
                "/Services/0/Scaling|{\"Min\":9,\"Max\":2}",
                "/Services/0/Scaling/Min|2.5",
                "/Services/0/Scaling/Max|\"9\"",
                "/Services/0/Scaling/BootTimeS|8000",
                "/Tenants|{\"c\":{\"Name\":\"c\",\"ApiKeys\":[\"key-of-c\"]}}",
                "/Tenants/0/Name|\"\"",
                "/Tenants/0/Priority|-1",
                "/Tenants/0/Priority|null",
                "/Tenants/0/ApiKeys/0|5",
                "/Tenants/0/ApiKeys/0|\"\"",
                "/Limits|5",
                "/Limits/MaxHeaderBytes|0",
                "/Limits/MaxHeaderBytes|1000001",
                "/Limits/MaxBodyBytes|-1",
                "/Limits/MaxBodyBytes|70000001",
                "/Limits/HeaderTimeoutMs|0",
                "/Limits/IdleTimeoutMs|-1"
            })
    void findsWrongTypesAndValuesOutOfRange(String pointer, String value) {
        assertEquals(List.of("error " + pointer), Documents.places(Documents.findings(Documents.with(pointer, value))));
    }

    @ParameterizedTest
    @CsvSource({
        "/Version",
        "/Routes/0/Name",
        "/Routes/0/Host",
        "/Routes/0/Prefix",
        "/Routes/0/Type",
        "/Routes/0/Backends",
        "/Routes/0/Backends/0/Service",
        "/Services/0/Scaling/Min",
        "/Services/0/Scaling/Max",
        "/Tenants/0/Name"
    })
    void findsMissingFields(String pointer) {
        List<Finding> findings = Documents.findings(Documents.with(pointer, null));
        assertEquals(List.of("error " + pointer), Documents.places(findings));
        assertEquals("missing", findings.getFirst().text());
    }

    @Test
    void findsMissingLists() {
        assertEquals(
                List.of("error /Routes", "error /Services"), Documents.places(Documents.findings("{\"Version\":1}")));
    }

    /** A misspelled field has no effect. Other unknown fields may belong to the platform and need no correction. */
    @Test
    void findsMisspelledFieldsAndNotesOtherUnknownOnes() {
        String misspelled = Documents.with(Documents.with("/Routes/0/TimeoutMs", null), "/Routes/0/TimeoutMS", "5000");
        assertEquals(
                List.of(Finding.error(
                        "/Routes/0/TimeoutMS", "TimeoutMS", "TimeoutMs", "unknown field, probably misspelled")),
                Documents.findings(misspelled));
        for (String name : List.of("MaxAttempt", "MaxAtempts", "MaxAttemtps", "max_attempts", "MaxAttemptz")) {
            String document = Documents.with(Documents.with("/Routes/0/MaxAttempts", null), "/Routes/0/" + name, "1");
            assertEquals(List.of("error /Routes/0/" + name), Documents.places(Documents.findings(document)));
        }
        assertEquals(
                List.of("note /Routes/0/Owner"),
                Documents.places(Documents.findings(Documents.with("/Routes/0/Owner", "\"x\""))));
    }

    @Test
    void findsServicesThatDoNotExist() {
        assertEquals(
                List.of("error /Routes/0/Backends/1/Service"),
                Documents.places(Documents.findings(Documents.with("/Services/1/Name", "\"smal\"")).stream()
                        .filter(f -> f.severity() == Severity.ERROR)
                        .toList()));
        assertEquals(
                List.of("error /Routes/1/Service"),
                Documents.places(Documents.findings(Documents.with("/Services/2/Name", "\"ledgers\"")).stream()
                        .filter(f -> f.severity() == Severity.ERROR)
                        .toList()));
    }

    /** A service that cannot be read has its own finding; the routes to it need no correction. */
    @Test
    void takesAServiceThatCannotBeReadForDeclared() {
        assertEquals(
                List.of("error /Services/0"),
                Documents.places(Documents.findings(Documents.with("/Services/0/Engine/delays/0/Source", "\" \""))));
    }

    @Test
    void findsWeightsThatSumToZero() {
        String document =
                Documents.with(Documents.with("/Routes/0/Backends/0/Weight", "0"), "/Routes/0/Backends/1/Weight", "0");
        assertEquals(
                List.of("error /Routes/0/Backends"),
                Documents.places(Documents.findings(document).stream()
                        .filter(f -> f.severity() == Severity.ERROR)
                        .toList()));
    }

    @Test
    void findsDuplicateNames() {
        assertEquals(
                List.of("error /Routes/1/Name"),
                Documents.places(Documents.findings(Documents.with("/Routes/1/Name", "\"chat\""))));
        assertEquals(
                List.of("error /Services/3/Name"),
                Documents.places(Documents.findings(Documents.with("/Services/-", "{\"Name\":\"big\"}"))));
        assertEquals(
                List.of("error /Tenants/1/Name"),
                Documents.places(Documents.findings(Documents.with("/Tenants/1/Name", "\"c\""))));
    }

    @Test
    void findsKeysThatAreSharedRepeatedOrSurroundedByWhiteSpace() {
        assertEquals(
                List.of(Finding.error(
                        "/Tenants/1/ApiKeys/0",
                        "key-...",
                        "unique",
                        "the customer c has the same key at /Tenants/0/ApiKeys/0")),
                Documents.findings(Documents.with("/Tenants/1/ApiKeys/0", "\"key-of-c-1\"")));
        assertEquals(
                List.of("warning /Tenants/0/ApiKeys/1"),
                Documents.places(Documents.findings(Documents.with("/Tenants/0/ApiKeys/1", "\"key-of-c-1\""))));
        assertEquals(
                List.of("error /Tenants/1/ApiKeys/0"),
                Documents.places(Documents.findings(Documents.with("/Tenants/1/ApiKeys/0", "\"key-of-d \""))));
    }

    /** Findings are copied into tickets and logs, where a key must not appear. */
    @Test
    void showsAtMostFourCharactersOfAKey() {
        String secret = "s3cr3tsecret";
        for (String document : List.of(
                Documents.with("/Tenants/1/ApiKeys", "\"" + secret + "\""),
                Documents.with("/Tenants/1/ApiKey", "\"" + secret + "\""),
                Documents.with("/Tenants/1", "\"" + secret + "\""),
                Documents.with("/Tenants", "\"" + secret + "\""),
                Documents.with("/Tenants/1/ApiKeys", "[\"" + secret + "\",\"" + secret + "\",\"  " + secret + "\"]"),
                Documents.with("/Tenants/1/ApiKeys", "{\"a\":\"" + secret + "\"}"))) {
            List<Finding> findings = Documents.findings(document);
            assertFalse(findings.isEmpty(), document);
            assertFalse(findings.toString().contains(secret.substring(0, 5)), findings.toString());
        }
        assertEquals("k...", MaskedKey.of("k12"));
    }

    @ParameterizedTest
    @CsvSource({"chat/", "/chat"})
    void findsPrefixesWithoutASlashAtBothEnds(String prefix) {
        assertEquals(
                List.of("error /Routes/0/Prefix"),
                Documents.places(Documents.findings(Documents.with("/Routes/0/Prefix", "\"" + prefix + "\""))));
    }
}
