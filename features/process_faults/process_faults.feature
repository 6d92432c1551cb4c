Feature: Whatever process fails, no order runs twice and callers are told the truth

  Scenario Outline: Faults at a point of a request's life
    Given a deployment behind proxies, with one order service and two groups
    When <kind> meet each of these faults while <point>: <faults>
    Then each caller was told the truth, and nothing ran twice

    Examples: the processes
      | kind           | point                      | faults                                                                  |
      | keyed orders   | sent and unread            | none, kill agent, kill entry, pause entry, kill control leader          |
      | keyed orders   | started                    | kill agent, kill target, kill entry, pause agent, target connection drop |
      | keyed orders   | answered but not delivered | kill agent, kill entry, pause entry, journal unreachable                |
