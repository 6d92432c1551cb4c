Feature: The owner of places holds targets that may be cold to a window of one second

  # Guards against a burst on top of the rate, an owner with empty counts, an owner that does not lead
  # and statements that another gateway does not know yet.
  Scenario Outline: with a cold bound of 4 requests, <case>
    Given an owner that <owner>, and knows "<warm>" to be warm
    When it is asked for places "<asks>"
    Then its answers are "<answers>"

    Examples: TARGET[*][xN][/RATE]@T asks N times at time T for a target with a cold rate, * if cold
      | case                                                | owner               | warm | asks                      | answers          |
      | a second holds 4 requests                           | leads since time 0  | -    | a*x5@10                   | a a a a 1.10     |
      | the fifth waits for the first to leave the window   | leads since time 0  | -    | a*x2@10 a*x2@10.5 a*@10.9 | a a a a 0.20     |
      | the window is exact                                 | leads since time 0  | -    | a*x4@10 a*@11.099         | a a a a 0.00     |
      | and then there is room                              | leads since time 0  | -    | a*x4@10 a*x2@11.1         | a a a a a a      |
      | unused time is not saved                            | leads since time 0  | -    | a*@10 a*x5@20             | a a a a a 1.10   |
      | a warm target is held to the bound too              | leads since time 0  | a    | ax5@10                    | a a a a 1.10     |
      | the last window before the term counts as used      | leads since time 10 | -    | a*@10.1                   | 1.00             |
      | it is over                                          | leads since time 10 | -    | a*@11.1                   | a                |
      | a target that may be cold gets nothing in this time | leads since time 10 | -    | a@10.1                    | 1.00             |
      | one that is known to be warm gets half              | leads since time 10 | a    | ax3@10.1                  | a a 1.10         |
      | unless a gateway takes it for cold                  | leads since time 10 | a    | a*@10.1 a@10.2            | 1.00 0.90        |
      | an owner that does not lead grants a cold one none  | does not lead       | -    | a*@10                     | 1.10             |
      | it grants half to one that is known to be warm      | does not lead       | a    | ax3@10                    | a a 1.10         |
      | a gateway with an older deployment states no rate   | leads since time 0  | -    | a*x4@10 a/0@10.1          | a a a a 1.00     |
      | targets without a cold rate have no bound           | does not lead       | -    | a/0x6@10                  | a a a a a a      |
      | a bound below one request allows one in a longer time | leads since time 0 | -   | a*/0.5@10 a*/0.5@12 a*/0.5@12.2 | a 0.20 a   |

  # Guards against work that stays on a head which has just started while others are warm: its route
  # has half of the slots.
  Scenario: a cold head with half of its slots gets half of the work of a warm one
    Given an owner that leads since time 0, and knows "b" to be warm
    When it is asked 30 times for places at "a" with 12 slots, cold, and "b" with 24 slots
    Then "a" got 10 and "b" got 20 of them

  # Guards against another service of deployments without cold rates: all answers are the same whether
  # the owner leads or not, in a new term or an old one, for random requests and releases.
  Scenario Outline: without cold rates an owner that <owner> answers as a plain table of places
    Given an owner that <owner>, and knows "-" to be warm
    Then it answers 3000 random requests without cold rates as a plain table does, seeds 0 to 4

    Examples:
      | owner               |
      | leads since time 0  |
      | leads since time 10 |
      | does not lead       |

  # Guards against a refusal that is taken for final although the control leader might grant.
  Scenario Outline: the refusals of an owner that <owner> <state> that it does not lead, <case>
    Given an owner that <owner>, and knows "-" to be warm
    When it is asked for places "<asks>"
    And a request that can wait 0.5 s asks it at time 10 for "a", with a cold rate of <rate>
    Then its refusals, at least <count>, <state> that it does not lead

    Examples:
      | case                   | owner              | asks      | rate | count | state        |
      | for a cold target      | does not lead      | a*x2@10   | 2    | 3     | state        |
      | at the bound           | leads since time 0 | a*x5@10   | 2    | 2     | do not state |
      | in its first second    | leads since time 9.9 | a*x2@10 | 2    | 3     | do not state |
