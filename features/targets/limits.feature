Feature: Limits of requests a second that targets state are shared by all gateways

  # Guards against the incident LIMIT: the rule in its full words, over the decisions alone.
  Scenario Outline: <gateways> gateways, <busy> with callers, <targets> targets with a limit of <limit>, load <load>: <event>
    Given <gateways> gateways of which <busy> have callers, and <targets> targets with a limit of <limit> a second
    When requests come at <load> times the limits for 40 s and <event>, seeds 0 to 7
    Then in no 4 s a target gets more than its limit allows
    And at least <part> of the limits is used

    Examples: one owner shares them
      | gateways | busy | targets | limit | load | event                                           | part |
      | 20       | 20   | 1       | 2     | 4    | nothing happens                                 | 0.9  |
      | 20       | 2    | 1       | 2     | 4    | nothing happens                                 | 0.9  |
      | 20       | 20   | 3       | 0.5   | 4    | nothing happens                                 | 0.9  |
      | 60       | 60   | 8       | 3     | 1.5  | nothing happens                                 | 0.9  |
      | 20       | 20   | 1       | 40    | 3    | nothing happens                                 | 0.9  |
      | 20       | 20   | 1       | 10    | 8    | callers pause for 6 s again and again           | 0.4  |

    Examples: owners and gateways are lost; half of a limit is not left unused while an owner answers some gateways
      | gateways | busy | targets | limit | load | event                                            | part |
      | 20       | 20   | 2       | 3     | 4    | one gateway reaches no owner                     | 0.9  |
      | 20       | 20   | 2       | 3     | 4    | half of the gateways reach no owner              | 0.9  |
      | 20       | 20   | 2       | 3     | 4    | half of the gateways reach only the second owner | 0.9  |
      | 20       | 20   | 2       | 3     | 4    | the first owner is lost                          | 0.9  |
      | 20       | 20   | 2       | 3     | 4    | the owner restarts each second                   | 0.9  |
      | 20       | 20   | 2       | 3     | 4    | a gateway restarts each second                   | 0.9  |
      | 20       | 20   | 2       | 3     | 4    | owners answer by turns                           | 0.5  |
      | 20       | 20   | 2       | 3     | 4    | no owner answers                                 | 0.3  |
      | 60       | 60   | 2       | 3     | 4    | no owner answers                                 | 0.2  |

  Scenario Outline: an owner grants a request while <case>
    Given an owner of the places of targets "<targets>"
    When requests are asked for with the limits "<requests>"
    Then the last answer is "<answer>" with a wait of <wait> s

    Examples: TARGET=RATE~AGE@T, asked for at time T by a gateway that was told the rate AGE seconds ago
      | case                                        | targets   | requests                                     | answer   | wait |
      | no limit is known                           | a:10      | a@1                                          | a 0.1    | 0    |
      | the first request is within the limit       | a:10      | a=1~0@1                                      | a 0.1    | 0    |
      | the second one is not                       | a:10      | a=1~0@1 a=1~0@1.5                            | full 0.2 | 0.5  |
      | the next one is due                         | a:10      | a=1~0@1 a=1~0@2                              | a 0.2    | 0    |
      | another gateway knows of none               | a:10      | a=1~0@1 a@1.5                                | full 0.2 | 0.5  |
      | the target without a limit has more load    | a:10 b:10 | b@1 b@1 a=1~0@1 ab=1~0@1                     | b 0.3    | 0    |
      | a newer answer states no limit              | a:10      | a=1~0@1 a=none~0@1.5                         | a 0.2    | 0    |
      | an older answer states no limit             | a:10      | a=1~0@1 a=none~9@1.5                         | full 0.2 | 0.5  |
      | an older answer states a higher limit       | a:10      | a=1~0@1 a=50~9@1.5                           | full 0.2 | 0.5  |
      | the target takes none                       | a:10      | a=0~0@1 a=0~0@6                              | full 0.2 | 5    |
      | it is asked whether it still takes none     | a:10      | a=0~0@1 a=0~0@11                             | a 0.2    | 0    |
      | the limit was stated long ago               | a:10      | a=1~0@1 a@121.1 a@121.1                      | a 0.3    | 0    |
      | places are full too                         | a:1       | a@1 a=9~0@1.5                                | full 2.0 | 0    |
