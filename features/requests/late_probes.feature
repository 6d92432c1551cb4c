Feature: An engine whose streams go on is not taken for lost

  An agent took its engine for lost when the answers to two probes together took longer than 0.8 s,
  as on a machine that is short of processor time, and interrupted all streams of the engine.

  Scenario Outline: an engine answers no probe for <seconds> s and <streams> a stream
    Given an agent whose engine was healthy <age> s ago
    When the engine <streams> a stream for <seconds> s and answers no probe
    Then the agent takes it for <state>

    Examples:
      | age | seconds | streams       | state   |
      | 0.1 | 1.2     | goes on with  | healthy |
      | 0.1 | 1.2     | falls silent in | lost  |
      | 0.9 | 0.5     | goes on with  | lost    |

  # The checks were due before the answers that had arrived meanwhile were read.
  Scenario Outline: the agent's process is busy for <busy> s and then gets no answer for <silence> s
    Given an agent whose engine was healthy 0.1 s ago
    When the agent is busy for <busy> s, and its engine answers no probe for <silence> s after that
    Then the agent takes it for <state>

    Examples:
      | busy | silence | state   |
      | 0.9  | 0.3     | healthy |
      | 0.9  | 1.2     | lost    |
      | 0    | 1.2     | lost    |
