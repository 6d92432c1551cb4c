Feature: A gateway sends nothing new to an evacuated failure domain

  The gateway has two targets, one in the domain south and two in the domain north. Each is the head of
  a group and a plain target.

  Scenario Outline: a stream goes on while <what>
    # A stream that is taken for lost is interrupted and sent again elsewhere, which costs a retry.
    Given an evacuating gateway whose target two sends 6 events in 1.2 s
    When a stream runs at two, and 0.3 s later <what>
    Then the caller gets every event, and the target one received 0 requests

    Examples:
      | what                                              |
      | the domain north is evacuated                     |
      | the domain north is evacuated and two is unlisted |

  Scenario Outline: a <kind> request whose first target <fault> is not sent again to an evacuated domain
    # A retry or a resumed stream reaches the domain later than the request that it belongs to.
    Given an evacuating gateway whose target one <fault>
    When a <kind> request is sent to one, and the domain north is evacuated meanwhile
    Then its caller gets <answer>, and the target two received 0 requests

    Examples:
      | kind       | fault                           | answer               |
      | once       | reports that it did not run it  | 503                  |
      | idempotent | closes before it answers        | 502                  |
      | idempotent | fails with 500                  | 502                  |
      | stream     | closes before it answers        | 502                  |
      | stream     | breaks the stream off           | an incomplete stream |
      | stream     | stalls after some events | an incomplete stream |

  Scenario Outline: a <kind> request is sent elsewhere if <what> while its connection opens
    # The view may change, and a paused gateway may lose its lease, between choice and send.
    Given an evacuating gateway whose targets answer
    When a <kind> request is sent, and <what> while connection 1 opens
    Then its caller gets <answer>, and the target of connection 1 received 0 requests

    Examples:
      | kind       | what                    | answer     |
      | once       | its domain is evacuated | the answer |
      | idempotent | its domain is evacuated | the answer |
      | stream     | its domain is evacuated | the answer |
      | once       | the lease ends          | 503        |
      | idempotent | the lease ends          | 503        |
      | stream     | the lease ends          | 503        |

  Scenario Outline: a reserved successor is not used if <what> while its connection opens
    # The successor was reserved before the evacuation, and the lease may end meanwhile.
    Given an evacuating gateway whose target one stalls after some events
    When a stream request is sent to one, and <what> while connection 2 opens
    Then its caller gets an incomplete stream, and the target of connection 2 received 0 requests

    Examples:
      | what                    |
      | its domain is evacuated |
      | the lease ends          |

  Scenario Outline: a <kind> request is not sent again once the lease has ended
    # A gateway that is cut off cannot know of an evacuation, so it must not send after its lease.
    Given an evacuating gateway whose target one <fault>
    When a <kind> request is sent to one, and the lease ends meanwhile
    Then its caller gets <answer>, and the target two received 0 requests

    Examples:
      | kind       | fault                           | answer               |
      | once       | reports that it did not run it  | 503                  |
      | idempotent | closes before it answers        | 502                  |
      | stream     | breaks the stream off           | an incomplete stream |

  Scenario Outline: a <kind> request when <what>
    # A caller that waits for a domain that may come back learns too late that it is refused.
    Given an evacuating gateway whose targets answer
    When <what>
    And a <kind> request is sent to any target
    Then within 0.3 s its caller gets <answer>, and the target two received 0 requests

    Examples:
      | kind       | what                                                   | answer     |
      | once       | the domains north and south are evacuated              | 503        |
      | idempotent | the domains north and south are evacuated              | 503        |
      | stream     | the domains north and south are evacuated              | 503        |
      | stream     | the domain north is evacuated but two is listed as open | the answer |
      | once       | the domain north is evacuated but two is listed as open | the answer |

  Scenario: Slots that change are known at once
    # A target keeps its known load in a new view, and with it the slots of the ramp's first step.
    Given an evacuating gateway whose targets answer
    When the next view states 2 slots for each target
    Then the gateway counts 2 slots for each target
