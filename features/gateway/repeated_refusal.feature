Feature: A refusal that a target has written before is not taken for the answer to another request

  A target that refuses a request guarantees that it did not run. On a kept connection a faulty one
  writes an earlier refusal once more, where the next answer is expected.

  # Guards against callers that are told "not run" of a request that runs, and against second runs.
  Scenario Outline: a target repeats <refusal> on a kept connection while it runs a <kind> request
    Given a gateway with a target that refuses a request and then repeats <refusal>
    When a request is refused, and a <kind> request is sent on the kept connection
    Then its caller gets <answer>, and the target ran it <runs>

    Examples:
      | refusal                              | kind       | answer              | runs  |
      | the refusal without an id            | once       | the complete answer | once  |
      | the refusal without an id            | idempotent | 502                 | once  |
      | the refusal without an id            | stream     | 502                 | once  |
      | the refusal with the earlier id      | once       | the complete answer | once  |
      | the refusal with the earlier id      | idempotent | the complete answer | once  |
      | the refusal with the earlier id      | stream     | the complete answer | once  |
      | a misdirection without an id         | once       | the complete answer | once  |
      | an earlier answer without an id      | once       | the complete answer | once  |
      | the refusal without an id, no answer | once       | 504                 | once  |

  Scenario: with another target, a request that may be repeated goes on there
    Given a gateway with a target that refuses a request and then repeats the refusal without an id
    And another target that is listed later
    When a request is refused, and a idempotent request is sent on the kept connection
    Then its caller gets the complete answer, and the target ran it once

  # The target has a new epoch, so the same request may be sent to it again.
  Scenario Outline: a target refuses a <kind> request, is listed anew, and repeats the refusal with its id
    Given a gateway with a target that refuses a <kind> request and repeats that to its next send
    When the <kind> request is sent, and the target is listed anew once it has refused
    Then its caller gets the complete answer, and the target ran it once

    Examples:
      | kind   |
      | once   |
      | stream |

  Scenario Outline: a refusal without an id on a new connection
    Given a gateway with a target that refuses each request without an id
    When a <kind> request is sent on a new connection
    Then its caller gets 503, and the target ran it never

    Examples: no other request was sent on it
      | kind       |
      | once       |
      | idempotent |
      | stream     |

  Scenario Outline: <what> on an idle connection before the loop reads again
    Given a pool with an idle connection to a target
    When <what> on it, and a connection is taken before the loop reads again
    Then <taken> is taken

    Examples: nothing of a request has been sent yet
      | what                      | taken          |
      | nothing arrives           | the connection |
      | an earlier answer arrives | no connection  |
      | the end arrives           | no connection  |
      | a reset arrives           | no connection  |
