Feature: Who is a direct target, from heartbeats that come late, twice or from ended incarnations

  Each message is ID:ADDRESS:BORN:SEQUENCE, with a d at its end for a draining target; -ID is a
  departure. The silence that ends a target is 3 s.

  Scenario Outline: <case>
    Given a registry that has heard "<messages>", one message a second
    Then after <seconds> s more the usable targets are "<usable>" and the draining ones "<draining>"

    Examples:
      | case                                                | messages                     | seconds | usable | draining |
      | a target that reports                               | a:1:10:1                     | 0       | a      |          |
      | a silent target                                     | a:1:10:1                     | 3       |        |          |
      | a heartbeat that was overtaken says nothing new     | a:1:10:2d a:1:10:1           | 0       | a      | a        |
      | an id that starts again is a new incarnation        | a:1:10:9d a:1:20:1           | 0       | a      |          |
      | a late heartbeat of the ended incarnation           | a:1:10:8 a:1:20:1 a:1:10:9   | 0       | a      |          |
      | the address has passed to a newer target            | a:1:10:1 b:1:20:1            | 0       | b      |          |
      | a late heartbeat from before the address passed on  | b:1:20:1 a:1:10:7            | 0       | b      |          |
      | two addresses                                       | a:1:10:1 b:2:20:1            | 0       | a b    |          |
      | a departure that was announced                      | a:1:10:1d -a                 | 0       |        |          |
      | a departure without notice: it ends its work        | a:1:10:1 -a                  | 7       | a      | a        |
      | a departure that is said twice                      | a:1:10:1 -a -a               | 1       | a      | a        |
      | a departure without notice: its work has ended      | a:1:10:1 -a                  | 8       |        | a        |
      | a heartbeat that the departure overtook             | a:1:10:1 -a a:1:10:2         | 8       |        | a        |
      | a heartbeat that an announced departure overtook    | a:1:10:1d -a a:1:10:2        | 0       |        |          |
      | a new incarnation after a departure                 | a:1:10:1 -a a:1:20:1         | 0       | a      |          |
      | a departure of an unknown target                    | -a a:1:10:1                  | 0       | a      |          |

  Scenario Outline: a target that misses its probe <case>
    Given a registry that has heard "a:1:10:1", one message a second
    When the probe that was sent <asked> s later is missed and the target reports "<later>" after it
    Then after 0 s more the usable targets are "<usable>" and the draining ones ""

    Examples:
      | case                          | asked | later    | usable |
      | is lost at once               | 0.5   |          |        |
      | is back with its next report  | 0.5   | a:1:10:2 | a      |

  Scenario Outline: an instance begins to lead <gap> s after the last heartbeat that it was told of
    Given a registry that has heard "a:1:10:1", one message a second
    When its instance begins to lead <gap> s later
    Then after <seconds> s more the usable targets are "<usable>" and the draining ones ""

    Examples: what it was not told while the old leader was cut off is no sign of a loss
      | gap | seconds | usable |
      | 0   | 2       | a      |
      | 5   | 0       | a      |
      | 5   | 2       | a      |
      | 5   | 3       |        |
      | 20  | 0       |        |

  Scenario Outline: <messages>, and <gap> s later the instance begins to lead
    Given a registry that has heard "<messages>", one message a second
    When its instance begins to lead <gap> s later
    Then after <seconds> s more the usable targets are "<usable>" and the draining ones ""

    Examples: who was silent before the old leader was lost is not heard of again by its loss
      | messages                                     | gap | seconds | usable |
      | a:1:10:1 b:2:20:1 b:2:20:2 b:2:20:3 b:2:20:4 | 1   | 0       | b      |
      | a:1:10:1 b:2:20:1 b:2:20:2 b:2:20:3          | 5   | 0       | b      |
      | a:1:10:1 b:2:20:1 b:2:20:2                   | 5   | 0       | a b    |
      | a:1:10:1 b:2:20:1 b:2:20:2                   | 5   | 1       | b      |
