Feature: Whatever a target does, the caller gets the whole answer to its own request, or the truth

  Two targets stand behind the gateway. The first one that is asked misbehaves, the other is sound.

  Scenario Outline: a request of kind <kind> and a target that <fault>
    Given a gateway before two targets of which the first one asked <fault>
    When a request of kind <kind> is sent
    Then the caller gets <answer> and the targets were asked <asked> times

    Examples: requests that may run only once
      | kind       | fault                                       | answer                | asked |
      | once       | answers                                     | the whole answer      | 1     |
      | once       | is not there                                | the whole answer      | 1     |
      | once       | says that it did not run it                 | the whole answer      | 2     |
      | once       | closes before it answers                    | 502                   | 1     |
      | once       | closes in the middle of the answer          | 502                   | 1     |
      | once       | sends bytes that are no answer              | 502                   | 1     |
      | once       | answers without its proof                   | 502                   | 1     |
      | once       | answers in an encoding                      | 502                   | 1     |
      | once       | first sends the answer to another request   | the whole answer      | 1     |
      | once       | sends the answer twice                      | the whole answer      | 1     |
      | once       | answers without a length and closes         | the whole answer      | 1     |
      | once       | answers without a length and resets         | 502                   | 1     |
      | once       | fails with 500                              | 500 and its proof     | 1     |
      | once       | fails with 500 and closes in the middle     | 502                   | 1     |

    Examples: requests that may be repeated
      | kind       | fault                                       | answer                | asked |
      | idempotent | closes before it answers                    | the whole answer      | 2     |
      | idempotent | closes in the middle of the answer          | the whole answer      | 2     |
      | idempotent | sends bytes that are no answer              | the whole answer      | 2     |
      | idempotent | answers without its proof                   | the whole answer      | 2     |
      | idempotent | answers in an encoding                      | the whole answer      | 2     |
      | idempotent | answers without a length and resets         | the whole answer      | 2     |
      | idempotent | fails with 500                              | the whole answer      | 2     |
      | idempotent | is not there                                | the whole answer      | 1     |
      | idempotent | fails with 500 and closes in the middle     | the whole answer      | 2     |

    Examples: streams that may be resumed
      | kind       | fault                                       | answer                | asked |
      | stream     | answers                                     | every event once      | 1     |
      | stream     | is not there                                | every event once      | 1     |
      | stream     | says that it did not run it                 | every event once      | 2     |
      | stream     | closes before it answers                    | every event once      | 2     |
      | stream     | closes in the middle of an event            | every event once      | 2     |
      | stream     | ends the stream in the middle of an event   | every event once      | 2     |
      | stream     | falls silent after some events              | every event once      | 2     |
      | stream     | falls silent before its first event         | every event once      | 2     |
      | stream     | leaves out an event                         | every event once      | 2     |

  Scenario Outline: the only target falls silent after some events, another one is there <after> s after the request
    Given a gateway before two targets of which the first one asked falls silent after some events
    But only one of them is granted
    When a request of kind stream is sent, and both are granted <after> s later
    Then the caller gets <answer> and the targets were asked <asked> times

    Examples: a stream under way waits for a repaired group for 1.5 s, from 0.6 s on
      | after | answer             | asked |
      | 1.2   | every event once   | 2     |
      | 4     | a part of a stream | 1     |

  Scenario Outline: the keeper of the places <keeper>
    Given a gateway before two targets of which the first one asked answers
    And a keeper of the places that <keeper>
    When a request of kind stream is sent
    Then the caller gets <answer> and the targets were asked <asked> times

    Examples: without a keeper a gateway goes by its own guess
      | keeper                                         | answer           | asked |
      | grants a place                                 | every event once | 1     |
      | grants a place at a target that has just gone  | every event once | 1     |
      | says that all are full                         | 503              | 0     |
      | does not answer                                | every event once | 1     |

  Scenario Outline: no target can be asked, and the caller is told so at once
    Given a gateway before no target
    When a request of kind <kind> is sent
    Then the caller gets 503 within 0.3 s and is told when to come back

    Examples:
      | kind       |
      | once       |
      | idempotent |
      | stream     |

  Scenario Outline: the caller of a <kind> request leaves, and the target's work ends
    Given a gateway before two targets of which the first one asked works for 5 s
    When a request of kind <kind> is sent and its caller leaves after 0.3 s
    Then the target has lost its connection within 0.5 s

    Examples:
      | kind       |
      | once       |
      | idempotent |
      | stream     |

  Scenario: connections are kept, and one with unread bytes is not
    Given a gateway before two targets of which the first one asked sends the answer twice
    When 6 requests of kind once are sent one after the other
    Then each caller got the whole answer to its own request
    And a target that answers once was connected to once

  Scenario Outline: a node <state> forwards nothing
    Given a gateway before two targets of which the first one asked answers
    And the gateway <state>
    When a request of kind once is sent
    Then the caller gets 503 and the targets were asked 0 times

    Examples:
      | state                         |
      | whose lease has lapsed        |
      | that knows no deployment yet  |
