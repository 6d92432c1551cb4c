Feature: The pace of a target is learned from durations, and forgotten

  Guards against targets that are taken for slow because they got the long kinds, against a slow one that
  gets as much as the others, and against one that is starved after it has recovered.

  Scenario Outline: <case>
    Given targets a and b that answer short requests in 0.02 s and long ones in 0.08 s
    When b answers 20 requests of the kind <kind> at <factor> times the duration
    And <seconds> s go by
    Then a request goes to <choice> with the least expected work

    Examples:
      | case                                              | kind  | factor | seconds | choice |
      | equal targets share the requests                  | short | 1      | 0       | both   |
      | the kind of a request says nothing of a target    | long  | 1      | 0       | both   |
      | a difference within the noise is ignored          | short | 1.2    | 0       | both   |
      | a slow target gives way                           | short | 3      | 0       | a      |
      | a slow target gives way with long requests also   | long  | 3      | 0       | a      |
      | a pace is kept for a while                        | long  | 3      | 2       | a      |
      | a pace that is not confirmed is forgotten         | long  | 3      | 20      | both   |

  Scenario Outline: <case> at a target that answers nothing
    Given targets a and b that answer short requests in 0.02 s and long ones in 0.08 s
    When <count> requests at b have been in flight for <seconds> s and <others> at a for 0 s
    Then a request goes to <choice> with the least expected work

    Examples: a paused target shows no duration
      | case                      | count | seconds | others | choice |
      | the lesser count goes on  | 1     | 0.01    | 2      | b      |
      | an overdue request counts | 1     | 0.5     | 2      | a      |
      | an expired request is not counted | 1 | 5     | 1      | b      |
