Feature: A lease also lapses while its machine is suspended

  CLOCK_MONOTONIC does not advance while a machine is suspended; a lease measured with it would still
  look valid after the machine resumes.

  Scenario Outline: a lease of 4 s after <running> s and a suspension of <suspended> s
    Given a lease of 4 s that was just granted
    When the machine runs for <running> s and is suspended for <suspended> s
    Then the lease is <state>

    Examples:
      | running | suspended | state  |
      | 1       | 0         | valid  |
      | 5       | 0         | lapsed |
      | 1       | 2         | valid  |
      | 1       | 5         | lapsed |
      | 0       | 60        | lapsed |
