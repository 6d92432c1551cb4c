Feature: One waiting line for each model: who may send to a target now

  A target is ID:SLOTS. "+p@T" asks for a place under permit p at time T, "-p" gives it back. A
  request is new unless its permit begins with "s" (a stream under way). Permits of the same letter
  are the same request, sent again.

  Scenario Outline: <case>
    Given a keeper of the places of targets "<targets>"
    When "<taken>" places are taken at time 0, for <duration> s each
    And "<messages>" arrive
    Then the last answer is "<answer>"

    Examples: the least loaded of the candidates is taken, up to a load
      | case                                          | targets   | taken  | duration | messages        | answer |
      | no place is taken                             | a:10      | 0      | 9        | +p@1            | a 0.1  |
      | the least loaded is taken                     | a:10 b:10 | 1      | 9        | +p@1            | b 0.1  |
      | a share of the slots counts                   | a:10 b:20 | 2      | 9        | +p@1            | b 0.1  |
      | one in ten may wait                           | a:10      | 10     | 9        | +p@1            | a 1.1  |
      | more are refused                              | a:10      | 11     | 9        | +p@1            | full 1.2 |
      | a place that is given back is free            | a:10      | 10     | 9        | +p@1 -p +q@1    | a 1.1  |
      | a place whose request's time is over is free  | a:10      | 11     | 2        | +p@2            | a 0.1  |
      | a permit that is asked for twice counts once  | a:10      | 9      | 9        | +p@1 +p@1 +q@1  | a 1.1  |
      | an unknown permit is given back               | a:10      | 0      | 9        | -x +p@1         | a 0.1  |
      | one that returns is let in where new ones are not | a:10  | 11     | 9        | +p@1 +p2@2      | a 1.2  |
      | one that returns late is new                  | a:10      | 11     | 9        | +p@1 +p2@6      | full 1.2 |
      | one that returns has a limit                  | a:10      | 14     | 9        | +p@1 +p2@2      | full 1.5 |
      | a stream under way is let in                  | a:10      | 14     | 9        | +s@1            | a 1.5  |
      | a stream under way has a limit                | a:10      | 20     | 9        | +s@1            | full 2.1 |

  Scenario Outline: keepers of a model <case>
    Given the control instances "<addresses>"
    When those at "<failed>" fail to answer at time 10
    Then the keeper of model <model> at time <time> is <keeper>

    Examples: rendezvous hashing divides the models, and a failed keeper is passed over for a second
      | case                  | addresses | failed | model | time | keeper            |
      | are the same at any node | x y z  |        | m     | 10   | the first choice  |
      | in another order      | z y x     |        | m     | 10   | the first choice  |
      | that has failed       | x y z     | first  | m     | 10.5 | the second choice |
      | that is back          | x y z     | first  | m     | 11   | the first choice  |
      | that have all failed  | x y z     | all    | m     | 10.5 | nobody            |
