Feature: Requests wait for the places of a model in the order of their ranks, or are refused at once

  Guards against a burst of one kind that takes the places of a more urgent one, against a caller that
  is held although it can no longer be in time, and against one account that takes what others need.

  A target is ID:SLOTS. "+p:RANK:ACCOUNT:WAIT:SERVICE@T" asks for a place under permit p at time T: the
  request may wait for WAIT s and then holds its place for SERVICE s. "-p@T" gives a place back or leaves
  the queue, "tick@T" lets time pass. Permits of the same letter are the same request, sent again.

  Scenario Outline: <case>
    Given a queue by rank for the targets "<targets>"
    When the queue is told "<messages>"
    Then the outcomes at the queue are "<outcomes>"

    Examples: a request waits while a place can become free in time
      | case                                              | targets | messages                                                   | outcomes |
      | a free place is granted at once                   | a:1     | +p:0:x:0.2:1@1                                             | p:taken:a |
      | a request waits for a place that comes in time    | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.9 -p@1                       | p:taken:a q:queued:0 q:granted:a |
      | one that cannot be in time is refused at once     | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.1                            | p:taken:a q:full |
      | only one of two can be in time                    | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.9 +r:0:x:0.2:1@0.95          | p:taken:a q:queued:0 r:full |
      | a place that comes late is waited for to the end  | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.9 tick@1.05 tick@1.2         | p:taken:a q:queued:0 q:denied |
      | a caller that leaves frees its place in the queue | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.9 -q@0.92 +r:0:x:0.2:1@0.95 -p@1 | p:taken:a q:queued:0 r:queued:0 r:granted:a |
      | a place that expires is granted                   | a:1     | +p:0:x:0.2:4.9@0 +q:0:x:0.3:1@4.8 tick@5                   | p:taken:a q:queued:0 q:granted:a |
      | a permit that is asked for twice waits once       | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.9 +q:0:x:0.2:1@0.9 -p@1 -q@1.1 | p:taken:a q:queued:0 q:queued:0 q:granted:a |
      | the place is at another target                    | a:1 b:1 | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0 +r:0:x:0.2:1@0.9 -q@1        | p:taken:a q:taken:b r:queued:0 r:granted:b |

    Examples: rank goes before due time, and a less urgent request gives way
      | case                                                  | targets | messages                                                                | outcomes |
      | a more urgent one overtakes                           | a:1     | +p:0:x:0.2:1@0 +q:2:x:1.5:1@0.9 +r:0:x:0.2:0.2@0.95 -p@1 -r@1.2         | p:taken:a q:queued:0 r:queued:0 r:granted:a q:granted:a |
      | a less urgent one is displaced for good, and told     | a:1     | +p:0:x:0.2:1@0 +q:2:x:0.5:1@0.9 +r:0:x:0.2:1@0.95 tick@0.96             | p:taken:a q:queued:0 r:queued:0 q:denied |
      | a less urgent one never displaces                     | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.9 +r:2:x:0.5:1@0.95                       | p:taken:a q:queued:0 r:full |
      | a less urgent one that is due first waits             | a:1     | +p:0:x:0.2:1@0 +q:1:x:0.3:0.1@0.9 +r:0:x:0.9:0.1@0.9 -p@1 -r@1.1        | p:taken:a q:queued:0 r:queued:0 r:granted:a q:granted:a |
      | equals go by due time                                 | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.8:0.1@0.9 +r:0:x:0.2:0.1@0.9 -p@1 -r@1.1        | p:taken:a q:queued:0 r:queued:0 r:granted:a q:granted:a |

    Examples: an account above its share gives way
      | case                                   | targets | messages                                                                                     | outcomes |
      | the large one is displaced             | a:1     | +p:0:g:0.2:1@0 +q:0:g:0.2:1@0.9 +r:0:s:0.2:1@0.95                                            | p:taken:a q:queued:0 r:queued:0 q:denied |
      | alone it keeps its place               | a:1     | +p:0:g:0.2:1@0 +q:0:g:0.2:1@0.9 +r:0:g:0.2:1@0.95                                            | p:taken:a q:queued:0 r:full |

    Examples: a refused request that returns goes after new ones, and first among those that return at its time
      | case                                     | targets | messages                                                                                          | outcomes |
      | at its agreed time after a new one       | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.1 -p@1 +r:0:x:0.3:1@1 +s:0:x:0.2:1@1.9 +q2:0:x:0.2:1@1.9 tick@1.92   | p:taken:a q:full r:taken:a s:queued:0 q2:full |
      | a new one after it displaces it          | a:1     | +p:0:x:0.2:1@0 +q:0:x:0.2:1@0.1 -p@1 +r:0:x:0.3:1@1 +q2:0:x:0.2:1@1.9 +s:0:x:0.2:1@1.9 tick@1.92   | p:taken:a q:full r:taken:a q2:queued:0 s:queued:0 q2:denied |

  Scenario: refused callers are told times at which there is room, one after the other
    Given a queue by rank for the targets "a:4"
    When 12 requests of 1 s arrive within 0.1 s, which may wait for 0.2 s
    Then 4 get a place, and the others are told times of which no two are the same
    And none is told a time before a place is free, or after 4 s

  Scenario: a resumed stream neither waits nor is refused for a queue
    Given a queue by rank for the targets "a:2"
    When the queue is told "+p:0:x:0.2:1@0 +q:0:x:0.2:1@0 +r:0:x:0.2:1@0.9 *s:2:x:0.2:1@0.95"
    Then the outcomes at the queue are "p:taken:a q:taken:a r:queued:0 s:taken:a"

  Scenario Outline: requests without terms are answered as by the table of places, <case>
    Given a queue by rank for the targets "a:10 b:10"
    When <count> requests without terms are sent to it and to a table of places, seed <seed>
    Then each answer of the two is the same

    Examples: services without ranks are served as before
      | case              | count | seed |
      | below their limit | 15    | 1    |
      | at their limit    | 60    | 2    |
      | beyond it         | 400   | 3    |
