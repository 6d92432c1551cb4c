Feature: A gateway chooses by expected work where it is in force, and only there

  Guards against a changed choice in deployments without scarce capacity, against calls that fail or wait
  when the owner that counts is lost or silent, against questions to targets, and against counts that
  stay after a request has ended. The gateway and the owner run their own code; the plain service has
  three targets with 4 slots. The bound on time is the objective of such calls; time in
  which the event loop, which all parts share, does not run on a busy machine does not count.

  Scenario Outline: <case>
    Given a gateway and an owner of plain services with <settings>
    When <count> calls arrive at once at the gateway and the owner <state>
    Then all calls are answered, each one after at most <limit> ms
    And <counted> of the calls were counted at the owner, and none still is
    And the targets got <count> requests and nothing else

    Examples: in force
      | case                             | settings                    | count | state           | limit | counted |
      | by the setting                   | the setting expected_work   | 12    | answers         | 147   | all     |
      | by ranked services               | ranked services             | 12    | answers         | 147   | all     |
      | by a service that may be cold    | a service that may be cold  | 12    | answers         | 147   | all     |
      | the owner has ended              | the setting expected_work   | 12    | has ended       | 147   | none    |
      | the owner is silent              | the setting expected_work   | 12    | is silent       | 147   | none    |

    Examples: not in force, as before
      | case                             | settings                    | count | state           | limit | counted |
      | without any of these             | neither                     | 12    | answers         | 147   | none    |

  Scenario: the owner spreads calls that arrive at once over the targets
    Given a gateway and an owner of plain services with the setting expected_work
    When 12 calls arrive at once at the gateway and the owner answers
    Then all calls are answered, each one after at most 147 ms
    And each target had 4 of the calls

  Scenario Outline: <count> calls <order> with one target in the domain of the gateway
    Given a gateway and an owner of plain services with the setting expected_work
    And two of the three targets are in another domain
    When <count> calls arrive <order> at the gateway and the owner answers
    Then all calls are answered, each one after at most 147 ms
    And all of the calls were counted at the owner, and none still is
    And the target in the domain of the gateway had <local> of the calls

    Examples: of equal targets the nearest is chosen, of unequal ones the least loaded
      | count | order             | local |
      | 5     | one after another | 5     |
      | 12    | at once           | 4     |

  Scenario Outline: the largest load over the mean is logged and measured, <case>
    Given the loads "<loads>" at choices of targets that are 0.5 s apart, as the <role> counts them
    When <seconds> s have gone by
    Then the metric of the <role> and a log line give the largest load over the mean as <ratio>

    Examples: the interval is 10 s
      | case                         | loads       | role    | seconds | ratio |
      | even load                    | 1/1/1       | owner   | 11      | 1.0   |
      | one target has all           | 3/0/0       | owner   | 11      | 3.0   |
      | targets in turns             | 2/0/1 0/2/1 | gateway | 11      | 2.0   |
      | no load                      | 0/0/0       | owner   | 11      | 1.0   |
      | the interval is not over     | 3/0/0       | owner   | 5       | none  |

  Scenario Outline: the choice by reported load is the present one with <settings>
    Given a gateway balancer with <settings> and targets with random loads and failures
    When it chooses 300 times with the seeds of the present choice
    Then its choices are <relation> the present ones

    Examples:
      | settings                   | relation      |
      | neither                    | the same as   |
      | the setting expected_work  | not always    |
