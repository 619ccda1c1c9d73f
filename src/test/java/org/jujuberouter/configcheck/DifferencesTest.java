package org.jujuberouter.configcheck;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a new version that takes access or a route away without notice. */
class DifferencesTest {
    private static final String NEXT = Documents.with("/Version", "8");

    private static List<Finding> differences(String document) {
        return ConfigurationChecks.run(Documents.read(document), Documents.read(Documents.VALID));
    }

    private static List<String> places(String document) {
        return Documents.places(differences(document));
    }

    @Test
    void listsNothingForADocumentWithTheSameMeaning() {
        String reordered = Documents.with(
                Documents.with(NEXT, "/Services/-", "{\"HealthCheck\":\"/\",\"Name\":\"small\"}"), "/Services/1", null);
        assertEquals(List.of(), differences(reordered));
        assertEquals(List.of(), differences(Documents.with(NEXT, "/Routes/1/TimeoutMs", "30000")));
    }

    /** Instances ignore an older version, and a version with the same number cannot be told from the one in force. */
    @Test
    void findsAVersionThatIsNotNewer() {
        assertEquals(List.of("warning /Version"), places(Documents.VALID));
        assertEquals(List.of("error /Version"), places(Documents.with("/Version", "6")));
        List<Finding> unknown = differences(Documents.with("/Version", "\"8\""));
        assertEquals(List.of("error /Version"), Documents.places(unknown));
        assertEquals("wrong type", unknown.getFirst().text());
    }

    @Test
    void listsAddedRemovedAndChangedRoutes() {
        String moved = Documents.with(NEXT, "/Routes/1/Prefix", "\"/send/\"");
        assertEquals(List.of("note /Routes/1", "note in-force:/Routes/1"), places(moved));
        List<Finding> changed = differences(Documents.with(NEXT, "/Routes/0/TimeoutMs", "6000"));
        assertEquals(List.of(Finding.note("/Routes/0", "h/chat/", "route changed: timeoutMs 5000 -> 6000")), changed);
        List<Finding> weights = differences(Documents.with(NEXT, "/Routes/0/Backends/0/Weight", "80"));
        assertEquals("route changed: targets", weights.getFirst().text());
    }

    @Test
    void listsAddedRemovedAndChangedServices() {
        String added = Documents.with(
                Documents.with(NEXT, "/Services/-", "{\"Name\":\"new\"}"),
                "/Routes/0/Backends/-",
                "{\"Service\":\"new\"}");
        assertTrue(places(added).contains("note /Services/3"), places(added).toString());
        String removed = Documents.with(Documents.with(NEXT, "/Services/1", null), "/Routes/0/Backends/1", null);
        assertEquals(List.of("note /Routes/0", "note in-force:/Services/1"), places(removed));
        assertEquals(
                List.of(Finding.note("/Services/0", "big", "service changed: engine.slots 8 -> 11")),
                differences(Documents.with(NEXT, "/Services/0/Engine/Slots", "11")));
    }

    @Test
    void findsAServiceThatLosesItsLastRoute() {
        List<Finding> findings = differences(Documents.with(NEXT, "/Routes/1", null));
        assertEquals(List.of("warning /Services/2", "note in-force:/Routes/1"), Documents.places(findings));
        assertEquals("the service loses its last route", findings.getFirst().text());
    }

    @Test
    void listsAddedAndRemovedCustomersAndKeys() {
        String document = Documents.with(NEXT, "/Tenants/0/ApiKeys/1", "\"new-key-of-c\"");
        document = Documents.with(document, "/Tenants/-", "{\"Name\":\"e\",\"ApiKeys\":[\"key-of-e\"]}");
        document = Documents.with(document, "/Tenants/1/Priority", "3");
        List<Finding> findings = differences(document);
        assertEquals(
                List.of(
                        "note /Tenants/0/ApiKeys/1",
                        "note in-force:/Tenants/0/ApiKeys/1",
                        "note /Tenants/1",
                        "note /Tenants/2"),
                Documents.places(findings));
        assertEquals("new-...", findings.getFirst().value());
        assertFalse(findings.toString().contains("key-o"), findings.toString());
    }

    @Test
    void findsCustomersThatLoseTheirLastKey() {
        assertEquals(
                List.of("warning /Tenants/1/ApiKeys", "note in-force:/Tenants/1/ApiKeys/0"),
                places(Documents.with(NEXT, "/Tenants/1/ApiKeys", "[]")));
        List<Finding> removed = differences(Documents.with(NEXT, "/Tenants/1", null));
        assertEquals(
                List.of(Finding.warning("in-force:/Tenants/1", "d", "", "customer removed with its last key")),
                removed);
    }

    /** Without the list of customers, every call is accepted. */
    @Test
    void findsThatCallsNeedNoKeyAnyMore() {
        assertEquals(
                List.of("warning /Tenants", "note in-force:/Tenants/0", "note in-force:/Tenants/1"),
                places(Documents.with(NEXT, "/Tenants", null)));
        CheckedConfiguration open = Documents.read(Documents.with("/Tenants", null));
        assertEquals(
                List.of("note /Tenants", "note /Tenants/0", "note /Tenants/1"),
                Documents.places(ConfigurationChecks.run(Documents.read(NEXT), open)));
    }

    @Test
    void listsChangedLimits() {
        assertEquals(
                List.of(Finding.note("/Limits", "", "limits changed: maxBodyBytes 1048576 -> 4194304")),
                differences(Documents.with(NEXT, "/Limits/MaxBodyBytes", "4194304")));
    }
}
