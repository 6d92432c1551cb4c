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
