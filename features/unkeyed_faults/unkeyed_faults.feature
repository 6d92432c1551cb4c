Feature: After faults, orders without a key are not repeated, and completions are complete

  Scenario Outline: Faults at one point in the progress of a request
    Given a deployment behind proxies, with one order service and two groups
    When each of these faults is injected into <kind> while <point>: <faults>
    Then each caller got an accurate outcome, and nothing ran twice

    Examples: orders without a key
      | kind           | point                      | faults                                                                  |
      | keyless orders | sent and unread            | none, drop, half-open, kill agent, pause entry                          |
      | keyless orders | started                    | drop, cut mid-frame, kill agent, kill target, target connection drop    |

    Examples: completions
      | kind           | point                      | faults                                                                  |
      | completions    | unsent                     | delay, drop, half-open, agent unreachable, pause agent                  |
      | completions    | mid-stream                 | delay, drop, cut mid-frame, half-open, entry unreachable                |
      | completions    | mid-stream                 | kill agent, kill target, pause agent, pause target, kill control leader |
