Feature: A request that waits for a place survives the loss of its owner, and nothing waits on a dead one

  Guards against callers that hang until their time limit because the owner at which they wait is gone,
  and against places that are counted for nobody or twice. Owner and gateways run their own code and are
  connected over loopback streams. One target has one slot, and a request of the first gateway holds it.

  Scenario Outline: <case>
    Given <gateways> gateways, three owners and a place that is held at the first owner
    When <requests> requests wait there and <event>
    Then <outcome>

    Examples: the ordinary course
      | case                                          | gateways | requests | event                                       | outcome |
      | a place that is given back is granted         | 1        | 2        | the place is given back                     | one of them gets it within 0.2 s, and the others wait |
      | a caller that leaves frees its place in queue | 1        | 2        | the callers leave                           | no request waits at an owner within 0.1 s |
      | a place that is not given back in time        | 1        | 2        | nothing happens                             | they are refused with a time to return, no later than 0.1 s after their time |

    Examples: the owner
      | case                                            | gateways | requests | event                                     | outcome |
      | the owner is lost with a full queue             | 2        | 8        | the owner is killed                       | they wait at the second owner within 0.2 s, which counts 1 place |
      | the link to the owner is lost                   | 2        | 8        | the connections to the owner are closed   | they wait at the second owner within 0.2 s, which counts 1 place |
      | the owner is lost, and the place is given back  | 2        | 8        | the owner is killed and the place is given back | one of them gets it within 0.4 s, and the others wait |
      | the owner is restarted at once                  | 2        | 8        | the owner is restarted                    | each owner that is asked counts 1 place within 1 s |
      | the owner is paused, and other requests come    | 1        | 8        | the owner is paused and a request comes   | they wait at the second owner within 0.2 s, which counts 1 place |
      | the owner is paused, and no other requests come | 1        | 2        | the owner is paused                       | they end no later than 0.2 s after their time |
      | all owners are lost                             | 1        | 4        | all owners are killed                     | they end within 0.2 s without an answer of an owner |

    Examples: gateways and calls
      | case                                         | gateways | requests | event                                            | outcome |
      | a gateway is lost                            | 2        | 8        | the second gateway is lost and the place is given back | a request of the first gateway gets it within 0.2 s |
      | a grant comes late                           | 1        | 0        | a grant for a request that waits no more comes   | the first owner counts 0 places within 0.2 s |
      | a call is broken off after 50 ms             | 1        | 0        | the owner answers after 0.2 s                    | the request is not held for more than 0.25 s, and no owner counts it 1 s later |
      | two owners at once                           | 2        | 0        | the first gateway asks another owner for a time  | no more than 1 place is held in excess, and none once it is back |

  # Guards against a new control leader that does not know the places that are held, and against
  # requests of services with a cold rate that go on waiting at the old one.
  Scenario Outline: with a cold rate of <rate>, <change>
    Given three owners that may lead, and a place held at the first one with a cold rate of <rate>
    When 2 requests wait at the leader and <change>
    Then within 0.2 s <first> wait at the first owner and <second> at the second, which counts <places>

    Examples:
      | rate | change                                                           | first | second | places |
      | 26   | the second owner is confirmed as the leader                      | 0     | 2      | 1      |
      | 26   | a call fails and the second owner is confirmed as the leader     | 0     | 2      | 1      |
      | 26   | a call fails and the first owner is confirmed again              | 2     | 0      | 0      |
      | 0    | the second owner is confirmed as the leader                      | 2     | 0      | 0      |
