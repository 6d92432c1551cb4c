Feature: The planner forms, mends and ends groups

  Scenario Outline: The next commands for a domain of engines
    Given a model that spans 2 instances with <spares> spares a domain
    And instances "<instances>" of which "<lost>" are lost and "<drained>" are drained
    And groups "<groups>" of which "<idle>" are idle
    When the planner runs
    Then the commands are "<commands>"

    Examples:
      | instances | lost | drained | groups | idle | spares | commands            |
      | a b c     |      |         |        |      | 1      | form a b            |
      | a b c     |      |         |        |      | 2      |                     |
      | a b c d   |      |         |        |      | 0      | form a b; form c d  |
      | a b c     | b    |         | a b    |      | 1      | repair a c          |
      | a b c     | a    |         | a b    |      | 1      | repair b c          |
      | a b       | b    |         | a b    |      | 1      |                     |
      | a b c     | a b  |         | a b    |      | 1      | dissolve            |
      | a b c     |      | b       | a b    |      | 1      |                     |
      | a b c     |      | b       | a b    | a b  | 1      | repair a c          |
      | a b       |      | b       | a b    | a b  | 1      | dissolve            |
