Feature: No combination of a few faults makes a log forget, disagree or lose its quorum for good

  # Guards against faults that need one order of events, which random histories may miss: each fault
  # is tried at each step. After the last one an entry must be committed.
  Scenario Outline: <voters> voters and <waiting> instances that wait, with <budget> of <faults>
    Given a log of <voters> voters, and <waiting> instances that wait for a vote
    When every history of <duration> s with up to <budget> of the faults <faults> is tried
    Then none of at least <histories> histories broke a rule

    Examples:
      | voters | waiting | faults                                  | budget | duration | histories |
      | 3      | 0       | lose, double, delay, restart, wipe, end | 1      | 2        | 800       |
      | 5      | 0       | lose, double, delay, restart, wipe, end | 1      | 1.2      | 800       |
      | 3      | 2       | lose, delay, restart                    | 1      | 2        | 800       |
      | 3      | 2       | end, stop                               | 1      | 4        | 400       |
      | 3      | 2       | end                                     | 2      | 4        | 4000      |

  Scenario Outline: The search finds that an instance <rule>
    Given a log of <voters> voters, and <waiting> instances that wait for a vote
    And each instance of it "<rule>"
    When every history of <duration> s with up to <budget> of the faults <faults> is tried
    Then one of them broke a rule

    Examples:
      | rule                    | voters | waiting | faults              | budget | duration |
      | answers before the sync | 3      | 0       | restart             | 1      | 1.5      |
      | votes on an empty disk  | 3      | 0       | lose, restart, wipe | 2      | 1.5      |
      | has no lease            | 3      | 0       | delay, restart      | 2      | 1.5      |
      | takes back votes late   | 3      | 2       | end                 | 2      | 4        |
