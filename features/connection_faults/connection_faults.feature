Feature: Whatever fails between entry and agent, no order runs twice and callers are told the truth

  Scenario Outline: Faults at a point of a request's life
    Given a deployment behind proxies, with one order service and two groups
    When <kind> meet each of these faults while <point>: <faults>
    Then each caller was told the truth, and nothing ran twice

    Examples: the agent's connection
      | kind           | point                      | faults                                                                  |
      | keyed orders   | unsent                     | delay, drop, half-open, agent unreachable, entry unreachable            |
      | keyed orders   | started                    | delay, drop, cut mid-frame, half-open, agent unreachable                |
      | keyed orders   | answered but not delivered | delay, drop, half-open, entry unreachable                               |
