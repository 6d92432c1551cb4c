Feature: Requests are served through real processes

  Scenario: Completions, orders and resends over two entries
    Given a running deployment with 1 serving groups
    Then a streamed completion through entry 1 is complete
    And a non-streamed completion through entry 2 is complete
    And an order through entry 1, resent through entry 2, runs once and gets the same answer
    And an account with an unknown key is refused with status 401 and outcome not_run

  Scenario Outline: A completion survives the loss of a process mid-stream
    Given a running deployment with 2 serving groups
    When a completion of 150 tokens is streamed and <fault> mid-stream
    Then the streamed completion is complete

    Examples:
      | fault                                |
      | the head's agent is killed           |
      | the head's engine is killed          |
      | the other member's engine is killed  |
      | the control leader is killed         |
