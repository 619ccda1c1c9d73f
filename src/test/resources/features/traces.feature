Feature: Replaying a recorded trace against stated outcomes
  An operator replays a trace to see whether a release keeps its promises before it takes real calls.

  Background:
    Given a service that answers like the assistant and the ledger
    And a trace with 6 questions, 2 long reviews, a slow reader and a credit that is sent twice

  Scenario: All promises are kept
    When the operator replays the trace, expecting whole answers and no duplicates
    Then the replay succeeds

  Scenario Outline: A broken promise is reported
    Given the service <fault>
    When the operator replays the trace, expecting whole answers and no duplicates
    Then the replay fails and says "<finding>"

    Examples:
      | fault                                  | finding                                  |
      | loses a piece of each answer           | order=9                                  |
      | gives callers the answers of others    | foreign=9                                |
      | cuts answers off before their end      | incomplete=9                             |
      | runs each credit as often as it is sent | 1 resends got another answer             |

  Scenario: A refusal that did not run may be allowed
    Given the service refuses all prompts as not run
    When the operator replays the trace, allowing a share of 0.9 not to run
    Then the replay succeeds
    When the operator replays the trace, allowing a share of 0.5 not to run
    Then the replay fails and says "9 requests did not run"

  Scenario: First tokens must come in time
    When the operator replays the trace, expecting first tokens of class "1k" within 0.001 ms
    Then the replay fails and says "first token in class 1k"

  Scenario: A damaged trace names the damaged line
    Given line 4 of the trace is damaged
    When the operator replays the trace, expecting whole answers and no duplicates
    Then the replay is refused and says "line 4"
