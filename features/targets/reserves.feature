Feature: A model with few large groups keeps serving while members are lost every few seconds

  Five domains of 73 engines, each with one group of 32 for the large model, five of 8 for the small
  one and one engine left. A load takes 16 s or 12 s, a join from the host 1.6 s or 1.1 s. A loss is
  seen after 0.6 s, and a group ends its work within 1 s.

  Scenario Outline: the large model after <losses>
    Given a fleet with few large and many small groups
    When members of "<losses>" are lost in one domain, 9 s apart
    Then all groups of the large model serve again within <bound> s of the last loss

    Examples: one spare is left, and a reserve completes what a spare would
      | losses            | bound |
      | large             | 4     |
      | large large       | 6     |
      | small large       | 4     |
      | small small large | 4     |
      | small large large | 6     |

  Scenario Outline: each model serves a like part of its groups while members are lost by lot
    Given a fleet with few large and many small groups
    When a member is lost each 3 s for 33 s, seeds 0 to 5
    Then the served part of each model is within 0.1 of the mean of both, for every seed

    Examples:
      | target |
      | 0.1    |
