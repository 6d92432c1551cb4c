Feature: A caller gets the complete answer to its own request or an accurate error when targets misbehave

  The gateway has two targets. The first one used misbehaves, the other is healthy.

  Scenario Outline: a request of kind <kind> and a target that <fault>
    Given a gateway with two targets, of which the first one used <fault>
    When a request of kind <kind> is sent
    Then the caller gets <answer> and the targets received <asked> requests

    Examples: requests that may run only once
      | kind | fault                                     | answer                | asked |
      | once | answers                                   | the complete answer   | 1     |
      | once | does not listen                           | the complete answer   | 1     |
      | once | reports that it did not run it            | the complete answer   | 2     |
      | once | closes before it answers                  | 502                   | 1     |
      | once | closes in the middle of the answer        | 502                   | 1     |
      | once | sends bytes that are not HTTP             | 502                   | 1     |
      | once | answers without its signature             | 502                   | 1     |
      | once | answers in an encoding                    | 502                   | 1     |
      | once | first sends the answer to another request | the complete answer   | 1     |
      | once | sends the answer twice                    | the complete answer   | 1     |
      | once | answers without a length and closes       | the complete answer   | 1     |
      | once | answers without a length and resets       | 502                   | 1     |
      | once | sends a head without end                  | 502                   | 1     |
      | once | sends a body without end                  | 502                   | 1     |
      | once | fails with 500                            | 500 and its signature | 1     |
      | once | fails with 500 and closes in the middle   | 502                   | 1     |

    Examples: requests that may be repeated
      | kind       | fault                                   | answer              | asked |
      | idempotent | closes before it answers                | the complete answer | 2     |
      | idempotent | closes in the middle of the answer      | the complete answer | 2     |
      | idempotent | sends bytes that are not HTTP           | the complete answer | 2     |
      | idempotent | sends a head without end                | the complete answer | 2     |
      | idempotent | sends a body without end                | the complete answer | 2     |
      | idempotent | answers without its signature           | the complete answer | 2     |
      | idempotent | answers in an encoding                  | the complete answer | 2     |
      | idempotent | answers without a length and resets     | the complete answer | 2     |
      | idempotent | fails with 500                          | the complete answer | 2     |
      | idempotent | does not listen                         | the complete answer | 1     |
      | idempotent | fails with 500 and closes in the middle | the complete answer | 2     |

    Examples: streams that may be resumed
      | kind   | fault                                     | answer           | asked |
      | stream | answers                                   | every event once | 1     |
      | stream | does not listen                           | every event once | 1     |
      | stream | reports that it did not run it            | every event once | 2     |
      | stream | closes before it answers                  | every event once | 2     |
      | stream | closes in the middle of an event          | every event once | 2     |
      | stream | ends the stream in the middle of an event | every event once | 2     |
      | stream | sends a head without end                  | every event once | 2     |
      | stream | sends an event without end                | every event once | 2     |
      | stream | stalls after some events                  | every event once | 2     |
      | stream | stalls before its first event             | every event once | 2     |
      | stream | stalls after some events without framing  | every event once | 2     |
      | stream | omits an event                            | every event once | 2     |
      | stream | sends a byte of an event now and then     | every event once | 2     |
      | stream | sends whole events slowly                 | every event once | 1     |

    # Guards against a number that is no status code and is passed on as that of an answer (MIXED).
    Examples: numbers that are no status codes
      | kind       | fault                   | answer              | asked |
      | once       | answers with status 000 | 502                 | 1     |
      | once       | answers with status 099 | 502                 | 1     |
      | once       | answers with status 600 | 502                 | 1     |
      | once       | answers with status 999 | 502                 | 1     |
      | idempotent | answers with status 000 | the complete answer | 2     |
      | stream     | answers with status 000 | every event once    | 2     |

  Scenario Outline: a target of kind stream that <fault> gives <reports> report of progress
    Given a gateway with two targets, of which the first one used <fault>
    But both are granted as heads of groups only
    When a request of kind stream is sent
    Then the gateway has <reports> groups whose progress it reports

    Examples: only events of an answer show that a group is complete
      | fault                        | reports |
      | answers                      | 1       |
      | closes before it answers     | 1       |
      | stalls after some events     | 2       |

  Scenario Outline: the only target <fault>, and another one is granted <after> s after the request
    Given a gateway with two targets, of which the first one used <fault>
    But only one of them is granted
    When a request of kind stream is sent, and both are granted <after> s later
    Then the caller gets <answer> and the targets received <asked> requests

    Examples: a silent target is left once another one takes the stream
      | fault                    | after | answer           | asked |
      | stalls after some events | 1.2   | every event once | 2     |
      | stalls after some events | 4     | every event once | 2     |

    Examples: a stream whose target has ended waits up to 1.5 s for a repaired group
      | fault                                 | after | answer               | asked |
      | ends its connection after some events | 1.2   | every event once     | 2     |
      | ends its connection after some events | 4     | an incomplete stream | 1     |

  Scenario Outline: the owner of the places <keeper>
    Given a gateway with two targets, of which the first one used answers
    And an owner of the places that <keeper>
    When a request of kind stream is sent
    Then the caller gets <answer> and the targets received <asked> requests

    Examples: without an answer from the owner, the gateway uses its own load estimates
      | keeper                                                | answer           | asked |
      | grants a place                                        | every event once | 1     |
      | grants a place at a target that has just been removed | every event once | 1     |
      | reports that all are full                             | 503              | 0     |
      | does not answer                                       | every event once | 1     |

  Scenario Outline: without a target the caller is refused immediately
    Given a gateway without targets
    When a request of kind <kind> is sent
    Then the caller gets 503 with a retry delay within 0.3 s

    Examples:
      | kind       |
      | once       |
      | idempotent |
      | stream     |

  Scenario Outline: the request to the target is cancelled when the caller of a <kind> request disconnects
    Given a gateway with two targets, of which the first one used works for 5 s
    When a request of kind <kind> is sent and its caller disconnects after 0.3 s
    Then the connection to the target is closed within 0.5 s

    Examples:
      | kind       |
      | once       |
      | idempotent |
      | stream     |

  Scenario: connections are reused unless they hold unread bytes
    Given a gateway with two targets, of which the first one used sends the answer twice
    When 6 requests of kind once are sent one after the other
    Then each caller got the complete answer to its own request
    And only a connection with unread bytes was replaced

  Scenario Outline: a gateway <state> forwards nothing
    Given a gateway with two targets, of which the first one used answers
    And the gateway <state>
    When a request of kind once is sent
    Then the caller gets 503 and the targets received 0 requests

    Examples:
      | state                                                      |
      | whose lease has lapsed                                     |
      | that has no deployment yet                                 |
      | that was told of a deployment 1.1 s ago which it lacks     |
