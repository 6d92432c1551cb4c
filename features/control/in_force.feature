Feature: A change comes into force on all processes and is never reverted

  Scenario: Concurrent operators change configurations and presets while processes are paused and killed
    Given a deployment of 3 control instances, 3 entries and 4 agents
    When 200 configurations are applied and presets switched by concurrent operators, while an entry is paused, an agent is killed and the control leader is killed
    Then the last configuration and the last preset are in force everywhere
    And at no instant were two presets in force at two processes
    And no process returned to an earlier generation

  Scenario Outline: Validity of a lease at its holder and at its grantor, with clocks that drift
    Given a lease of 4 s with a drift bound of <bound> and a holder whose clock runs at <rate>
    When the renewal is sent at 0 s, granted at <granted> s and the answer comes at <answered> s
    Then at <time> s the holder <acts> and for the grantor the lease <lapsed>

    Examples:
      | bound | rate | granted | answered | time | acts     | lapsed          |
      | 0.01  | 1    | 0.5     | 1        | 3.9  | acts     | may still hold  |
      | 0.01  | 1    | 0.5     | 1        | 4.0  | does not | may still hold  |
      | 0.01  | 1    | 0.5     | 1        | 4.6  | does not | has lapsed      |
      | 0.01  | 0.99 | 0.0     | 1        | 3.99 | acts     | may still hold  |
      | 0.01  | 0.99 | 0.0     | 1        | 4.05 | does not | has lapsed      |
      | 0.01  | 1.01 | 0.0     | 1        | 3.95 | does not | may still hold  |
      | 0.1   | 0.9  | 0.0     | 1        | 4.3  | does not | may still hold  |

  Scenario Outline: A new leader reports a generation as in force or a lease as lapsed only once it is certain
    Given a leader elected at 100 s with leases of 4 s and no drift
    And holders "<holders>" that renewed at 101 s having acknowledged "<acknowledged>"
    Then at <time> s generation 2 is <verdict> and instance "z" <lapsed>

    Examples:
      | holders | acknowledged | time | verdict       | lapsed          |
      | a b     | 2 2          | 102  | not in force  | may still hold  |
      | a b     | 2 2          | 104  | in force      | has lapsed      |
      | a b     | 2 1          | 104  | not in force  | has lapsed      |
      | a b     | 2 1          | 105  | in force      | has lapsed      |
