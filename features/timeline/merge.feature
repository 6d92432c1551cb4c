Feature: Events of several processes are merged in causal order

  Scenario Outline: an effect is sorted after its cause, whichever clock is ahead
    Given process a, whose clock is <a> s, and process b, whose clock is <b> s
    When a records "cause", its stamp reaches b, and b records "effect"
    Then the merged names are "cause effect"

    Examples:
      | a      | b      |
      | 100.0  | 100.0  |
      | 100.0  | 90.0   |
      | 100.0  | 110.0  |
      | 500.0  | 0.0    |

  Scenario Outline: a process keeps only its newest events and counts the dropped ones
    Given an event log of capacity <capacity>
    When <recorded> events are recorded
    Then <kept> events are kept and <dropped> are counted as dropped

    Examples:
      | capacity | recorded | kept | dropped |
      | 4        | 0        | 0    | 0       |
      | 4        | 4        | 4    | 0       |
      | 4        | 5        | 4    | 1       |
      | 4        | 400      | 4    | 396     |

  Scenario Outline: the filter by <field> keeps the matching events
    Given events of two requests, two groups and two targets
    When they are filtered by <field> = <value>
    Then the kept subjects are "<kept>"

    Examples:
      | field   | value    | kept    |
      | request | r-1      | one     |
      | group   | g-2      | two g-2 |
      | target  | engine-1 | one     |
      | node    | engine-2 | two g-2 |
      | since   | 20       | two g-2 |
      | until   | 20       | one two |
      | request | r-9      |         |

  Scenario: every recorded event has a documented name
    Then each name that the packages record is a documented EventName
