Feature: A request that kills its targets is quarantined before it reaches a third one

  # Evidence: TARGET:REQUESTS that ran on it when it ended, or "+REQUEST" for one with a complete answer.
  Scenario Outline: Quarantined and suspected requests by the evidence
    Given the evidence "<evidence>"
    When <age> s of a quarantine of 60 s have passed
    Then the quarantined requests are "<quarantined>" and the suspects are "<suspects>"

    Examples:
      | evidence             | age | quarantined | suspects |
      |                      | 0   |             |          |
      | t1:p,a               | 1   |             | a p      |
      | t1:p,a t2:p          | 1   | p           | a        |
      | t1:p,a t1:p,a        | 1   |             | a p      |
      | t1:p,a +a t2:p,b     | 1   | p           | b        |
      | t1:p,a +a t1:p,a     | 1   |             | p        |
      | t1:p,a +a t2:p,a     | 1   | p           | a        |
      | t1:p,a t2:p          | 61  |             |          |

  Scenario: A poisonous request is resent through both entries
    Given a deployment of 5 engines for the quarantine
    When 6 innocent completions run and a poisonous one is sent 6 times through both entries
    Then at most 2 engines have died
    And the last poisonous request was refused as quarantined with outcome not_run
    And all innocent completions are complete
    And the timeline records why each request was sent to its target and why the last was refused
