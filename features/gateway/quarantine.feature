Feature: A request that causes deaths of its targets is not sent to further ones

  Scenario Outline: the same request after <deaths> targets have died while running it
    Given a gateway with two targets, of which the first one used answers
    And <deaths> targets have died while running the request of kind <kind>
    When a request of kind <kind> is sent
    Then the caller gets <answer> and the targets received <asked> requests

    Examples:
      | deaths | kind       | answer              | asked |
      | 0      | idempotent | the complete answer | 1     |
      | 1      | idempotent | the complete answer | 1     |
      | 2      | idempotent | 503                 | 0     |
      | 2      | once       | 503                 | 0     |
      | 2      | stream     | 503                 | 0     |

  Scenario Outline: a request with the parts <parts> after the part p has been quarantined
    Given a gateway with two targets, of which the first one used answers
    And the part p of prompts is quarantined
    When a stream with the parts "<parts>" is requested
    Then the caller gets <answer> and the targets received <asked> requests

    Examples:
      | parts | answer           | asked |
      |       | every event once | 1     |
      | s t   | every event once | 1     |
      | s p   | 503              | 0     |
      | p     | 503              | 0     |

  Scenario Outline: the part p is quarantined while a request with <parts> runs at a target that <fault>
    Given a gateway with two targets, of which the first one used <fault>
    When a stream with the parts "<parts>" is requested, and the part p is quarantined meanwhile
    Then the caller gets <answer> and the targets received <asked> requests

    Examples:
      | parts | fault                              | answer               | asked |
      | s     | stalls before its first event      | every event once     | 2     |
      | s p   | stalls before its first event      | 502                  | 1     |
      | s p   | stalls after some events           | an incomplete stream | 1     |

  Scenario Outline: a target that <fault> while it runs a request with the parts s and t
    Given a gateway with two targets, of which the first one used <fault>
    And control, which records what the gateway reports
    When a stream with the parts "s t" is requested
    Then control was told of interrupted requests with the parts "<parts>"

    Examples: a target that dies closes its connections
      | fault                                      | parts |
      | answers                                    |       |
      | reports that it did not run it             |       |
      | closes before it answers                   | s t   |
      | closes in the middle of an event           | s t   |
      | resets a stream that has no framing        | s t   |
      | closes a stream that has no framing        |       |

  Scenario Outline: a part that a target <fault> before is <proven>
    Given a gateway with two targets, of which the first one used <fault>
    And control, which records what the gateway reports
    When a stream with the parts "s" is requested
    And the leader suspects the parts "s t"
    Then the gateway reports an answer to "<answered>"

    Examples:
      | fault                                         | answered | proven     |
      | answers                                       | s        | proven     |
      | closes a stream that has no framing           |          | not proven |

  Scenario Outline: control probes a target whose connection ended and that <state>
    Given control and a target that <state> when it is probed
    When a gateway reports that the connection of request "p" to it ended
    Then the deaths that control reports are "<deaths>"

    Examples:
      | state                        | deaths |
      | answers                      |        |
      | accepts connections silently |        |
      | does not answer              | p      |
