Feature: A gateway that is told to stop cuts no request and leaves no caller waiting

  The grace is 4 s, and callers are moved elsewhere within 1.4 s.

  Scenario Outline: a request that is sent <sent> s after the stop on <connection> and takes <work> s
    Given a gateway before a target that works for <work> s
    When it is told to stop, and <sent> s later a request is sent on <connection>
    Then the caller of the stopping gateway gets <answer>
    And the target ran <runs> of it

    Examples:
      | connection        | sent | work | answer                                 | runs |
      | a new connection  | 0    | 0.5  | the whole answer and the end           | 1    |
      | a kept connection | 0    | 0.5  | the whole answer and the end           | 1    |
      | a new connection  | 1    | 2    | the whole answer and the end           | 1    |
      | a kept connection | 2    | 0.5  | a closed connection, its request unread | 0    |
      | a kept connection | 2    | 3    | a closed connection, its request unread | 0    |

  Scenario: a request that began to arrive before the idle connections were closed is refused
    Given a gateway before a target that works for 3 s
    When it is told to stop, and a request arrives in two halves, 1 s and 2 s later
    Then the caller of the stopping gateway gets a refusal that says that nothing ran and the end
    And the target ran 0 of it
