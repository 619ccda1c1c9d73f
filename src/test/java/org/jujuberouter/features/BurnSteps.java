package org.jujuberouter.features;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.jujuberouter.cli.ReportCommand;
import org.jujuberouter.report.RequestRecord;

/** Steps of the burn-rate report features. */
public class BurnSteps {
    private static final long START = 1_700_000_000_000L;

    private final List<String> records = new ArrayList<>();
    private JsonNode burns;

    @Given("a run of {int} requests in {int} minutes that all succeed")
    public void runWithoutFailures(int requests, int minutes) {
        runWithFailures(requests, minutes, -1, -1);
    }

    @Given("a run of {int} requests in {int} minutes that fails from second {int} to {int}")
    public void runWithFailures(int requests, int minutes, int from, int to) {
        for (int i = 0; i < requests; i++) {
            int second = i * minutes * 60 / requests;
            add(second, "depot-korat", second < from || second >= to);
        }
    }

    @Given("customer {string} gets {int} failures at second {int}")
    public void customerFailures(String customer, int count, int second) {
        for (int i = 0; i < count; i++) {
            add(second, customer, false);
        }
    }

    @When("the operator asks for the burn of an availability of {double}")
    public void report(double share) throws IOException {
        Path file = Files.createTempFile("run", ".jsonl");
        Files.write(file, records);
        CommandLineRun run = CommandLineRun.of(
                ReportCommand.of(),
                "slo-burn",
                file.toString(),
                "--format",
                "json",
                "--objective",
                "availability=" + share);
        Files.delete(file);
        assertEquals(0, run.status(), run.output());
        burns = new ObjectMapper().readTree(run.output()).path("burns");
    }

    @Then("no rule fires")
    public void noRuleFires() {
        assertFalse(fired("all"));
    }

    @Then("the budget used is {int} %")
    public void budgetUsed(int percent) {
        assertEquals(percent, burn("all").path("budgetUsed").asDouble() * 100, 0.5);
    }

    @Then("the rule {string} fires between second {int} and {int}")
    public void ruleFiresBetween(String rule, int from, int to) {
        double second = (rule(rule).path("firedAt").asLong() - START) / 1e3;
        assertTrue(second >= from && second <= to, "fired at second " + second);
    }

    @Then("the rule {string} is not judged")
    public void ruleIsNotJudged(String rule) {
        assertFalse(rule(rule).path("judged").asBoolean(true));
    }

    @Then("a rule fires for customer {string}")
    public void ruleFiresFor(String customer) {
        assertTrue(fired("customer " + customer));
    }

    @Then("no rule fires for customer {string}")
    public void noRuleFiresFor(String customer) {
        assertFalse(fired("customer " + customer));
    }

    private boolean fired(String scope) {
        boolean fired = false;
        for (JsonNode rule : burn(scope).path("rules")) {
            fired |= rule.path("firedAt").asLong() >= 0;
        }
        return fired;
    }

    private JsonNode rule(String name) {
        for (JsonNode node : burn("all").path("rules")) {
            if (node.path("rule").asText().equals(name)) {
                return node;
            }
        }
        throw new AssertionError("no rule " + name + " in " + burns);
    }

    private JsonNode burn(String scope) {
        for (JsonNode burn : burns) {
            if (burn.path("scope").asText().equals(scope)) {
                return burn;
            }
        }
        throw new AssertionError("no scope " + scope + " in " + burns);
    }

    private void add(int second, String customer, boolean good) {
        int status = good ? 200 : 503;
        String fault = good ? "none" : "no_capacity";
        String outcome = good ? "completed" : "not-run";
        records.add(new RequestRecord(
                        START + second * 1000L,
                        customer,
                        "assistant",
                        "stream",
                        1500,
                        20,
                        status,
                        outcome,
                        fault,
                        300,
                        20,
                        900)
                .toJson());
    }
}
