Feature: Process failures run no order twice, and callers get accurate outcomes

  Scenario Outline: Faults at one point in the progress of a request
    Given a deployment behind proxies, with one order service and two groups
    When each of these faults is injected into <kind> while <point>: <faults>
    Then each caller got an accurate outcome, and nothing ran twice

    Examples: the processes
      | kind           | point                      | faults                                                                  |
      | keyed orders   | sent and unread            | none, kill agent, kill entry, pause entry, kill control leader          |
      | keyed orders   | started                    | kill agent, kill target, kill entry, pause agent, target connection drop |
      | keyed orders   | answered but not delivered | kill agent, kill entry, pause entry, journal unreachable                |
