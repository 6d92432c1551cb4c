Feature: Connection faults between entry and agent run no order twice, and callers get accurate outcomes

  Scenario Outline: Faults at one point in the progress of a request
    Given a deployment behind proxies, with one order service and two groups
    When each of these faults is injected into <kind> while <point>: <faults>
    Then each caller got an accurate outcome, and nothing ran twice

    Examples: the agent's connection
      | kind           | point                      | faults                                                                  |
      | keyed orders   | unsent                     | delay, drop, half-open, agent unreachable, entry unreachable            |
      | keyed orders   | started                    | delay, drop, cut mid-frame, half-open, agent unreachable                |
      | keyed orders   | answered but not delivered | delay, drop, half-open, entry unreachable                               |
