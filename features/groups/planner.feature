Feature: The planner forms, repairs and dissolves groups

  Scenario Outline: The next commands for a domain of engines
    Given a model that spans 2 instances with <spares> spares a domain
    And instances "<instances>" of which "<lost>" are lost and "<drained>" are drained
    And groups "<groups>" of which "<idle>" are idle
    When the planner runs
    Then the commands are "<commands>"

    Examples:
      | instances | lost | drained | groups | idle | spares | commands            |
      | a b c     |      |         |        |      | 1      | form a b            |
      | a b c     |      |         |        |      | 2      | form a b            |
      | a b c d   |      |         |        |      | 0      | form a b; form c d  |
      | a b c d   |      |         |        |      | 1      | form a b            |
      | a b c     | b    |         | a b    |      | 1      | repair a c          |
      | a b c     | a    |         | a b    |      | 1      | repair b c          |
      | a b       | b    |         | a b    |      | 1      |                     |
      | a b c     | a b  |         | a b    |      | 1      | dissolve            |
      | a b c d   |      |         | a b    |      | 1      |                     |
      | a b c     |      | b       | a b    |      | 1      |                     |
      | a b c     |      | b       | a b    | a b  | 1      | repair a c          |
      | a b       |      | b       | a b    | a b  | 1      | dissolve            |

  Scenario Outline: Plans by the weights, and repairs with members of another broken group
    Given weights of <downtime> for downtime and <stranded> for stranded accelerators
    And models "<models>" with 1 spare a domain
    And groups of several domains "<groups>" and free instances "<free>"
    When the planner runs with instances "<lost>" lost for <seconds> seconds
    Then the commands are "<commands>"

    Examples: an instance is named by its domain and a letter, a group by its model and its members
      | downtime | stranded | models    | groups             | free     | lost    | seconds | commands                     |
      | 10       | 1        | m=2x0     | m 1a 1b            | 1c 1d    |         | 0       |                              |
      | 1        | 10       | m=2x0     | m 1a 1b            | 1c 1d    |         | 0       | form 1c 1d                   |
      | 10       | 1        | m=2x0     | m 1a 1b; m 1c 1d   |          | 1b 1d   | 1.0     |                              |
      | 10       | 1        | m=2x0     | m 1a 1b; m 1c 1d   |          | 1b 1d   | 2.0     | dissolve 1                   |
      | 1        | 10       | m=2x0     | m 1a 1b; m 1c 1d   |          | 1b 1d   | 1.0     | dissolve 1                   |
      | 10       | 1        | m=2x0     | m 1a 1b; m 2c 2d   |          | 1b 2d   | 9       |                              |
      | 10       | 1        | m=3x0     | m 1a 1b 1c; m 1d 1e 1f |      | 1b 1c 1e | 9      | dissolve 1                   |
      | 10       | 1        | m=3x0     | m 1a 1b 1c; m 1d 1e 1f | 1g   | 1b 1c 1e | 9      | repair 2 1d 1f 1g            |
      | 10       | 1        | m=2x1     | m 1a 1b            | 2c 2d    | 1b      | 0       |                              |
      | 10       | 1        | m=2x1     | m 1a 1b            | 2c 2d    | 1b      | 9       | form 2c 2d                   |
      | 10       | 1        | m=2x1     | m 1a 1b; m 2c 2d   |          | 1b      | 9       | dissolve 1                   |
      | 10       | 1        | m=2x1     | m 1a 1b; m 2c 2d   |          |         | 0       |                              |
      | 10       | 1        | m=2x0 n=2x0 |                  | 1a 1b 2a 2b |      | 0       | form 1a 1b; form 2a 2b       |
      | 10       | 1        | m=2x0 n=1x1 | m 1a 1b          | 2c       |         | 0       | form 2c                      |
      | 1        | 10       | m=3x0 n=2x0 | m 1a 1b 1c       |          | 1b      | 9       | dissolve 1                   |
      | 10       | 1        | n=1x0     | m 1a 1b            |          | 1b      | 0       | dissolve 1                   |

  Scenario: Random losses, returns and drains keep groups disjoint, in one domain each, and instances in use
    When 150 random histories of losses, returns, drains and changes of the models run until the planner is idle
    Then the planner never proposed a command that the state refused
    And no instance was ever in two groups, and no group in two failure domains
    And in the end no free instance was left that a wanted group could use

  Scenario Outline: Load permits respect the limit of the weight store
    Given groups that wait for loads "<waiting>" and permits already held by "<held>"
    When permits are granted with a limit of <limit>
    Then instances "<permitted>" may load

    Examples:
      | waiting         | held | limit | permitted |
      | 1: a b; 2: c    |      | 0     | a b c     |
      | 1: a b; 2: c    |      | 1     | c         |
      | 1: a b; 2: c    |      | 2     | a c       |
      | 1: a b; 2: c    | a    | 1     | a         |
      | 1: a b; 2: c    | a b  | 1     | a b       |
      | 1: b; 2: c      | a    | 1     | b         |
