Feature: One queue for each model grants places at its targets

  A target is ID:SLOTS. "+p@T" requests a place under permit p at time T, "-p" releases it. A
  request is new unless its permit begins with "s" (a stream in progress). Permits of the same letter
  are the same request, sent again.

  Scenario Outline: <case>
    Given an owner of the places of targets "<targets>"
    When "<taken>" places are taken at time 0, for <duration> s each
    And "<messages>" arrive
    Then the last answer is "<answer>"

    Examples: the least loaded candidate is chosen, up to a maximum load
      | case                                                | targets   | taken | duration | messages       | answer   |
      | no place is taken                                   | a:10      | 0     | 9        | +p@1           | a 0.1    |
      | the least loaded is taken                           | a:10 b:10 | 1     | 9        | +p@1           | b 0.1    |
      | a share of the slots counts                         | a:10 b:20 | 2     | 9        | +p@1           | b 0.1    |
      | one in ten may wait                                 | a:10      | 10    | 9        | +p@1           | a 1.1    |
      | more are refused                                    | a:10      | 11    | 9        | +p@1           | full 1.2 |
      | a released place is free                            | a:10      | 10    | 9        | +p@1 -p +q@1   | a 1.1    |
      | a place whose deadline has passed is free           | a:10      | 11    | 2        | +p@2           | a 0.1    |
      | a permit that is requested twice counts once        | a:10      | 9     | 9        | +p@1 +p@1 +q@1 | a 1.1    |
      | an unknown permit is released                       | a:10      | 0     | 9        | -x +p@1        | a 0.1    |
      | a resent request gets a free slot                   | a:10      | 11    | 9        | +p@1 -s-0 -s-1 +p2@2 | a 1.0 |
      | a resent request does not wait for a slot           | a:10      | 11    | 9        | +p@1 -s-0 +p2@2 | full 1.1 |
      | a new request waits where a resent one does not     | a:10      | 11    | 9        | +p@1 -s-0 +p2@2 +q@2 | a 1.1 |
      | a request that is resent late is new                | a:10      | 11    | 9        | +p@1 -s-0 +p2@6 | a 1.1 |
      | a stream in progress is admitted                    | a:10      | 14    | 9        | +s@1           | a 1.5    |
      | a stream in progress has a limit                    | a:10      | 20    | 9        | +s@1           | full 2.1 |

  Scenario Outline: at <load> times what the targets can serve, requests are in time or refused
    Given two targets of 24 slots, answers of 0.6 s to 1.8 s and first events due in 0.25 s
    When callers arrive for 30 s at <load> times what these can serve, seeds 0 to 5
    Then <owner> serves at least <part> of the callers that it serves in time
    And it serves at least 0.9 times as many callers as an owner that prefers those who return
    And it serves at least as many callers in time as <baselines>

    Examples: each refused caller returns once, 0.2 s to 0.6 s later
      | load | owner     | part | baselines                                            |
      | 0.8  | the owner | 0.9  | one that prefers those who return, one without order |
      | 1.0  | the owner | 0.8  | one that prefers those who return, one without order |
      | 1.2  | the owner | 0.8  | one that prefers those who return, one without order |
      | 1.5  | the owner | 0.8  | one that prefers those who return, one without order |
      | 2.0  | the owner | 0.8  | one that prefers those who return, one without order |

  Scenario Outline: the owner of a model <case>
    Given the control instances "<addresses>"
    When those at "<failed>" fail to answer at time 10
    Then the owner of model <model> at time <time> is <keeper>

    Examples: rendezvous hashing assigns the models, and a failed owner is skipped for a second
      | case                            | addresses | failed | model | time | keeper            |
      | is the same at any node         | x y z     |        | m     | 10   | the first choice  |
      | with another order of addresses | z y x     |        | m     | 10   | the first choice  |
      | that has just failed            | x y z     | first  | m     | 10.5 | the second choice |
      | that is back after a failure    | x y z     | first  | m     | 11   | the first choice  |
      | when all instances have failed  | x y z     | all    | m     | 10.5 | nobody            |
