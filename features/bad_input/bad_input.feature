Feature: Malformed requests and misbehaving callers are refused at a bounded cost

  Scenario: Each malformed request is refused as a problem, and nothing runs
    Given a small deployment with an order service
    When these malformed requests are sent
      | request                        | status | code            | outcome |
      | a body that is not JSON        | 400    | request_invalid | not_run |
      | a body that is not UTF-8       | 400    | request_invalid | not_run |
      | a body of the wrong shape      | 400    | request_invalid | not_run |
      | a deeply nested body           | 400    | request_invalid | not_run |
      | an excessive max_tokens        | 400    | request_invalid | not_run |
      | a negative max_tokens          | 400    | request_invalid | not_run |
      | an unknown model               | 404    | not_found       | not_run |
      | an unknown path                | 404    | not_found       | not_run |
      | an unknown service             | 404    | not_found       | not_run |
      | a method that is not allowed   | 405    | request_invalid | not_run |
      | a body above the limit         | 413    | body_too_large  | not_run |
      | a timeout that is not a number | 400    | request_invalid | not_run |
      | a timeout of NaN               | 400    | request_invalid | not_run |
      | a timeout of infinity          | 400    | request_invalid | not_run |
      | a timeout of 1e300 s           | 400    | request_invalid | not_run |
      | a negative timeout             | 400    | request_invalid | not_run |
      | a key of 5000 characters       | 400    | request_invalid | not_run |
      | a kind of 5000 characters      | 400    | request_invalid | not_run |
      | a wrong bearer key             | 401    | key_unknown     | not_run |
      | no bearer key                  | 401    | key_unknown     | not_run |
      | a header block above the limit | 431    | head_too_large  | not_run |
    Then each is refused as listed
    And the ledger holds no run
    And the entry's memory has grown by less than 32 MiB
    And a streamed completion through entry 1 is complete

  Scenario: A chunked body above the limit is refused as a problem, and nothing runs
    Given a small deployment with an order service
    When these malformed requests are sent
      | request                           | status | code            | outcome |
      | a chunked body above the limit    | 413    | body_too_large  | not_run |
    Then each is refused as listed
    And the ledger holds no run
    And the entry's memory has grown by less than 32 MiB
    And a streamed completion through entry 1 is complete

  Scenario: An idempotency key belongs to one account and one order
    Given a small deployment with an order service
    When an order is sent, and its key is reused with another body and then by another account
    Then the second is refused as key_reused with outcome not_run
    And the first and the third each ran once

  Scenario: An answer above the limit is refused after the order ran
    Given a small deployment with an order service
    When an order's answer is larger than the agent's limit
    Then it is refused with outcome unknown and runs once
    And a resend of it is refused with outcome unknown and runs nothing

  Scenario: A caller that disconnects has its work cancelled at the engine
    Given a small deployment with an order service
    When a caller disconnects during a long streamed completion
    Then the engine records that it was cancelled

  Scenario: The entry bounds what it buffers for slow readers
    Given a small deployment with an order service
    When 20 callers request long streamed completions and do not read
    Then the entry's memory has grown by less than 32 MiB
    And a non-streamed completion through entry 1 is complete
