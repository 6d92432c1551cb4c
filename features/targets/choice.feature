Feature: The target with the least expected load is chosen, and failing ones are excluded for a time

  A target is ID:SLOTS:OWN:REPORTED, where REPORTED was reported 0 s ago, or ID:SLOTS:OWN for none.

  Scenario Outline: <case>
    Given the targets "<targets>"
    When "<failures>" have just failed and "<tried>" have been attempted for the request
    Then after <seconds> s the choice is "<choice>"

    Examples:
      | case                                   | targets          | failures | tried | seconds | choice |
      | the idle one                           | a:4:2:2 b:4:0:0  |          |       | 0       | b      |
      | others' requests count                 | a:4:0:3 b:4:1:1  |          |       | 0       | b      |
      | a share of the slots counts            | a:4:1:1 b:24:3:3 |          |       | 0       | b      |
      | an old report is ignored               | a:4:0:3 b:4:1:1  |          |       | 2       | a      |
      | one that has failed is excluded        | a:4:0 b:4:2      | a        |       | 0       | b      |
      | one that has failed comes back         | a:4:0 b:4:2      | a        |       | 1       | a      |
      | two failures in a row last longer      | a:4:0 b:4:2      | a a      |       | 1       | b      |
      | no target is attempted twice           | a:4:0 b:4:2      |          | a     | 0       | b      |
      | all attempted: none is left            | a:4:0            |          | a     | 0       | none   |
      | all failed: the one that is back first | a:4:0 b:4:2      | a b b    |       | 0       | a      |
      | no target                              |                  |          |       | 0       | none   |

  Scenario Outline: <case>
    Given the targets "<target>"
    Then a <kind> stream for the target is <outcome>

    Examples: streams in progress take precedence over new ones
      | case                                 | target    | kind    | outcome |
      | a free place                         | a:10:9:0  | new     | sent    |
      | a place that is free soon            | a:10:11:0 | new     | sent    |
      | a new stream would wait too long     | a:10:12:0 | new     | refused |
      | the requests of others count         | a:10:0:12 | new     | refused |
      | a resumed stream may wait            | a:10:12:0 | resumed | sent    |
      | a resumed stream would wait too long | a:10:25:0 | resumed | refused |
