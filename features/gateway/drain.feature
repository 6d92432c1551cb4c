Feature: A draining gateway completes or refuses every request

  The grace is 4 s, and callers move to other gateways within 1.4 s.

  Scenario Outline: a request sent <sent> s after the start of the drain on <connection> that takes <work> s
    Given a gateway with a target that works for <work> s
    When it starts to drain, and <sent> s later a request is sent on <connection>
    Then the caller of the draining gateway gets <answer>
    And the target ran it <runs> times

    Examples:
      | connection        | sent | work | answer                                              | runs |
      | a new connection  | 0    | 0.5  | the complete answer and the close of the connection | 1    |
      | a kept connection | 0    | 0.5  | the complete answer and the close of the connection | 1    |
      | a new connection  | 1    | 2    | the complete answer and the close of the connection | 1    |
      | a kept connection | 2    | 0.5  | a closed connection without an answer               | 0    |
      | a kept connection | 2    | 3    | a closed connection without an answer               | 0    |

  Scenario: a request that began to arrive before the idle connections were closed is refused
    Given a gateway with a target that works for 3 s
    When it starts to drain, and a request arrives in two halves, 1 s and 2 s later
    Then the caller of the draining gateway gets a refusal as not run and the close of the connection
    And the target ran it 0 times
