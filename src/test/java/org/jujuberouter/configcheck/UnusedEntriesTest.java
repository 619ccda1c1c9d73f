package org.jujuberouter.configcheck;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against entries that an operator believes to be in effect and that no call ever uses. */
class UnusedEntriesTest {
    private static List<String> places(String document) {
        return Documents.places(Documents.findings(document));
    }

    @Test
    void findsARouteWithTheHostAndPrefixOfAnEarlierOne() {
        String second =
                "{\"Name\":\"b\",\"Host\":\"h\",\"Prefix\":\"/post/\",\"Type\":\"idempotent\",\"Service\":\"small\"}";
        assertEquals(List.of("warning /Routes/2/Prefix"), places(Documents.with("/Routes/-", second)));
        assertEquals(List.of(), places(Documents.with("/Routes/-", second.replace("/post/", "/post/a/"))));
        assertEquals(List.of(), places(Documents.with("/Routes/-", second.replace("/post/", "/"))));
        assertEquals(List.of(), places(Documents.with("/Routes/-", second.replace("\"h\"", "\"other\""))));
    }

    /** The port of a call's host and its query are removed before the route is looked up. */
    @Test
    void findsHostsWithAPortAndPrefixesWithAQuery() {
        assertEquals(List.of("warning /Routes/1/Host"), places(Documents.with("/Routes/1/Host", "\"h:80\"")));
        assertEquals(List.of("warning /Routes/1/Prefix"), places(Documents.with("/Routes/1/Prefix", "\"/a?b=/\"")));
    }

    @Test
    void findsServicesThatNoRouteReaches() {
        List<Finding> unused = Documents.findings(Documents.with("/Services/-", "{\"Name\":\"unused\"}"));
        assertEquals(List.of("warning /Services/3"), Documents.places(unused));
        assertEquals("no route reaches the service", unused.getFirst().text());
        String covered =
                "{\"Name\":\"b\",\"Host\":\"h\",\"Prefix\":\"/post/\",\"Type\":\"idempotent\",\"Service\":\"s\"}";
        String document = Documents.with(Documents.with("/Routes/-", covered), "/Services/-", "{\"Name\":\"s\"}");
        assertTrue(places(document).contains("warning /Services/3"), "only a route that never matches leads to it");
        String unreadable =
                Documents.with(Documents.with("/Routes/1/Type", "\"odd\""), "/Services/-", "{\"Name\":\"s\"}");
        assertEquals(List.of("error /Routes/1/Type"), places(unreadable), "the unreadable route may lead to it");
    }

    @Test
    void findsAServiceOfWeightZero() {
        assertEquals(
                List.of("warning /Routes/0/Backends/1/Service", "warning /Services/1"),
                places(Documents.with("/Routes/0/Backends/1/Weight", "0")));
    }

    @Test
    void findsACustomerWithoutAKeyUnlessARouteIsPublic() {
        String document = Documents.with("/Tenants/1/ApiKeys", null);
        assertEquals(List.of("warning /Tenants/1/ApiKeys"), places(document));
        assertEquals(List.of(), places(Documents.with(document, "/Routes/1/Public", "true")));
    }
}
