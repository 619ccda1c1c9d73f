Feature: Service-level burn of a recorded run
  An operator wants to know whether a run spent its error budget too fast, since when, and for whom.

  Scenario: A quiet run fires no rule
    Given a run of 600 requests in 10 minutes that all succeed
    When the operator asks for the burn of an availability of 0.99
    Then no rule fires
    And the budget used is 0 %

  Scenario: A rule whose windows hold too few requests is not judged
    Given a run of 600 requests in 10 minutes that fails from second 300 to 330
    When the operator asks for the burn of an availability of 0.99
    Then the rule "1 h / 5 min" is not judged

  Scenario: An outage fires the fast rule within its first seconds
    Given a run of 6000 requests in 10 minutes that fails from second 300 to 330
    When the operator asks for the burn of an availability of 0.99
    Then the rule "1 h / 5 min" fires between second 300 and 310
    And the budget used is 500 %

  Scenario: Only the customer who was hit shows a burn
    Given a run of 600 requests in 10 minutes that all succeed
    And customer "depot-udon" gets 20 failures at second 400
    When the operator asks for the burn of an availability of 0.99
    Then a rule fires for customer "depot-udon"
    And no rule fires for customer "depot-korat"
