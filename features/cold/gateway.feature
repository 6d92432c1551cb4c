Feature: A gateway sends to targets that may be cold only what an owner grants in time

  # Guards against a gateway that sends to cold targets on its own while an owner grants all of the
  # bound to others: a route without an owner's grant, or a grant that is used after a pause.
  Scenario Outline: a request of kind <kind> to <state> targets with a cold rate of <rate>, <owner>
    Given a gateway with two targets, of which the first one used answers
    And its targets are <state>, with a cold rate of <rate>
    And an owner for cold targets that <owner>
    When a request of kind <kind> is sent
    Then it is <outcome>, after <asks> questions to owners

    Examples:
      | kind       | state                | rate | owner                       | outcome  | asks |
      | stream     | cold                 | 26   | does not answer             | refused  | 3    |
      | idempotent | cold                 | 26   | does not answer             | refused  | 3    |
      | once       | cold                 | 26   | does not answer             | refused  | 3    |
      | stream     | warm and not proven  | 26   | does not answer             | refused  | 3    |
      | stream     | warm and proven      | 26   | does not answer             | answered | 3    |
      | idempotent | warm and proven      | 26   | does not answer             | answered | 3    |
      | stream     | proven but cold      | 26   | does not answer             | refused  | 3    |
      | stream     | warm, proven and failed | 26 | does not answer            | refused  | 3    |
      | stream     | cold                 | 26   | grants                      | answered | 1    |
      | idempotent | cold                 | 26   | grants                      | answered | 1    |
      | stream     | cold                 | 26   | grants too late once        | answered | 2    |
      | idempotent | cold                 | 26   | grants too late once        | answered | 2    |
      | stream     | cold                 | 26   | grants too late 4 times     | answered | 5    |
      | stream     | cold                 | 26   | is full                     | refused  | 1    |

    # Guards against a model that gets nothing while all its heads pause after failures.
    Examples: targets that pause after failures: the owner is asked for the one whose pause ends first
      | kind       | state                | rate | owner                       | outcome  | asks |
      | stream     | warm but paused      | 26   | grants                      | answered | 1    |
      | idempotent | warm but paused      | 26   | grants                      | answered | 1    |
      | stream     | warm but paused      | 26   | is full                     | refused  | 1    |
      | stream     | warm but paused      | 26   | does not answer             | refused  | 3    |
      | stream     | warm but paused      | 0    | grants                      | answered | 0    |

    # Guards against requests that are refused for good by an owner that does not lead.
    Examples: owners that do not lead: another one is asked once, then the own part is used
      | kind       | state                | rate | owner                       | outcome  | asks |
      | stream     | cold                 | 26   | does not lead once          | answered | 2    |
      | idempotent | cold                 | 26   | does not lead once          | answered | 2    |
      | stream     | cold                 | 26   | does not lead               | refused  | 2    |
      | idempotent | cold                 | 26   | does not lead               | refused  | 4    |
      | stream     | warm and not proven  | 26   | does not lead               | refused  | 2    |
      | stream     | proven but cold      | 26   | does not lead               | refused  | 2    |
      | stream     | warm and proven      | 26   | does not lead               | answered | 2    |
      | idempotent | warm and proven      | 26   | does not lead               | answered | 2    |
      | stream     | cold                 | 26   | does not lead, then fails   | refused  | 2    |
      | stream     | warm and proven      | 26   | does not lead, then fails   | answered | 2    |

    Examples: without a cold rate everything is as before: one question for streams, none for others
      | kind       | state                | rate | owner                       | outcome  | asks |
      | stream     | cold                 | 0    | does not answer             | answered | 1    |
      | idempotent | cold                 | 0    | does not answer             | answered | 0    |
      | once       | warm and not proven  | 0    | does not answer             | answered | 0    |
      | stream     | warm and not proven  | 0    | grants too late once        | answered | 1    |

  # Guards against a gateway that asks another owner first, or states a cold rate, without need.
  Scenario Outline: with a cold rate of <rate> a gateway asks <first> first and states <stated>
    Given a gateway with two targets, of which the first one used answers
    And its targets are cold, with a cold rate of <rate>
    And an owner for cold targets that grants
    And the leader of control is at "127.0.0.1:9"
    When a request of kind stream is sent
    Then the owner that was asked is <first>, and was told <stated>

    Examples:
      | rate | first          | stated               |
      | 26   | the leader     | a cold rate of 26    |
      | 0    | the next owner | a cold rate of 0     |

  # Guards against gateways that use different first owners during an election: the instance that is
  # called next changes with each failed call, and it may have no vote and know no warm target.
  Scenario Outline: after calls that end with <answers> the first owner is <first>
    Given a gateway with two targets, of which the first one used answers
    And its targets are cold, with a cold rate of 26
    And an owner for cold targets that grants
    And calls to the leader of control that end with "<answers>"
    When a request of kind stream is sent
    Then the first owner that was asked is <first>

    Examples: in N:A the instance N answers with A; the instance N leads if A is ok
      | answers                      | first                      |
      | -                            | the first one by hash      |
      | 2:ok                         | instance 2                 |
      | 1:names 3                    | instance 3                 |
      | 2:ok 2:nothing               | the first one by hash      |
      | 2:ok 2:no leader             | the first one by hash      |
      | 2:ok 2:nothing 3:nothing     | the first one by hash      |
      | 2:ok 2:storage failed        | the first one by hash      |
      | 2:ok 2:unavailable           | instance 2                 |
      | 2:ok 2:nothing 1:names 3     | instance 3                 |

  # Guards against a second question to another instance than the leader that has become known.
  Scenario Outline: after an owner that does not lead <second> is asked, <case>
    Given a gateway with two targets, of which the first one used answers
    And its targets are cold, with a cold rate of 26
    And an owner for cold targets that <owner>
    When a request of kind stream is sent
    Then the second owner that was asked is <second>

    Examples:
      | case                               | owner                                   | second          |
      | a leader has become known          | does not lead once and names the leader | the leader named |
      | the leader is not known            | does not lead once                      | the next by hash |

  # Guards against a question for a head that has failed more often than another one.
  Scenario: while all heads pause the owner is asked for the one whose pause ends first
    Given a gateway with two targets, of which the first one used answers
    And its targets are warm but paused, with a cold rate of 26
    And an owner for cold targets that is full
    When a request of kind stream is sent
    Then the owner was asked for the head whose pause ends first, and for no other one

  # Guards against a request that is allowed without an owner and sent after a pause, in a second whose
  # part is used already.
  Scenario Outline: a pause of <pause> s before a request is sent without an owner, with a rate of <rate>
    Given a gateway with two targets, of which the first one used answers
    And its targets are warm and proven, with a cold rate of <rate>
    And an owner for cold targets that does not answer
    And a pause of <pause> s of the gateway before its first send
    When a request of kind stream is sent
    Then the caller is answered after <choices> choices of a target

    Examples:
      | pause | rate | choices |
      | 0.12  | 26   | 2       |
      | 0     | 26   | 1       |
      | 0.12  | 0    | 1       |
