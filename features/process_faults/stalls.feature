Feature: A process knows that it stood still, and that what it reads next may be old

  # Guards against a process that wakes and takes the calls that waited in its sockets for new ones.
  Scenario Outline: <case>
    Given a loop that made turns at "<turns>" s
    Then at <now> s its calls may be old: <answer>

    Examples:
      | case                                       | turns           | now | answer |
      | a loop that turns regularly                | 0 0.1 0.2 0.3   | 0.4 | no     |
      | a loop with a slow turn                    | 0 0.1 0.5       | 0.6 | no     |
      | a stall that no turn has ended yet         | 0 0.1           | 3.6 | yes    |
      | right after a stall                        | 0 0.1 3.6       | 3.7 | yes    |
      | until the calls have been read             | 0 0.1 3.6 3.7   | 4.5 | yes    |
      | once they have been read                   | 0 3.6 4.0 4.4 4.7 | 4.8 | no   |
      | a second stall                             | 0 3.6 4.6 4.7   | 5.3 | yes    |
