Feature: Another answer is never written into a stream that its caller has begun to receive

  # Guards against the incident MIXED: a resumed stream was followed by the head of a 404.
  Scenario Outline: the first target ends after three events, and the next one <fault>
    Given a gateway with 2 targets, of which the first one ends after three events and the next one <fault>
    When a streaming request is sent
    Then its caller gets the first three events and no end of the stream

    Examples: answers that are no success
      | fault                                    |
      | answers 302                              |
      | answers 400                              |
      | answers 404                              |
      | answers 404 without a body               |
      | answers 404 without a length and closes  |
      | answers 404 in events                    |
      | answers 409                              |
      | answers 429                              |
      | answers 500                              |
      | answers 503                              |
      | answers 404 without its signature        |
      | answers 503 and says that it did not run |

    Examples: a success that does not continue the stream
      | fault                                         |
      | answers 204                                   |
      | answers 200 without a body                    |
      | answers 200 with a JSON document              |
      | answers 200 with an error text                |
      | answers 200 with an error event without an id |
      | answers 200 with no event                     |
      | answers 200 with no event and no framing      |
      | answers 200 in an encoding                    |

  Scenario Outline: the first target ends after three events, the next one <fault>, and another one goes on
    Given a gateway with 3 targets, of which the first one ends after three events and the next one <fault>
    When a streaming request is sent
    Then its caller gets every event once

    Examples:
      | fault                            |
      | answers 404                      |
      | answers 204                      |
      | answers 200 with a JSON document |
      | answers 200 with no event        |

  # What has no id cannot be continued elsewhere without a duplicate.
  Scenario Outline: a target ends after events of which <events>
    Given a gateway with 2 targets, of which the first one sends events of which <events>, and ends
    When a streaming request is sent
    Then its caller gets what the first one sent and <end>

    Examples:
      | events              | end                            |
      | none has an id      | no end of the stream           |
      | the last has no id  | no end of the stream           |
      | the first has no id | the events of the next one     |
      | the last is a comment | the events of the next one |

  Scenario: an answer to the first request that is no success is passed on whole
    Given a gateway with 2 targets, of which the first one answers 404
    When a streaming request is sent
    Then its caller gets 404 with the signature and the body of the target

  # Guards against the same corruption by any other part of the gateway.
  Scenario Outline: a caller that <has> is told to <write>
    Given a caller that <has>
    When it is told to <write>
    Then that raises an error, and the connection carries nothing more

    Examples:
      | has                     | write                  |
      | has begun a stream      | send a complete answer |
      | has begun a stream      | start another stream   |
      | has sent a whole answer | send a complete answer |
      | has sent a whole answer | start another stream   |
      | has sent a whole answer | send further events    |
      | has sent a whole answer | end the stream         |
      | has sent nothing        | send further events    |
      | has sent nothing        | end the stream         |
