Feature: An agent orders its engine only when no earlier order and no earlier head can interfere

  Scenario Outline: Orders after a restart, after an order of unknown outcome and after an answer to a head
    Given an agent that started at <started> with an engine that <fencing> fencing numbers
    And an order of unknown outcome at "<unknown>" and a ready answer to head "<head>" at "<answered>"
    When an engine that is <place> is to act under head "<next>" at <now>
    Then the state is <trust> and an order is <verdict>

    Examples: the order timeout is 2 s, heads rely on an answer for 1 s, clocks drift by 10%
      | started | fencing | unknown | head | answered | place  | next | now  | trust     | verdict   |
      | 0       | check   |         |      |          | free   | h    | 0.1  | settled   | permitted |
      | 0       | ignore  |         |      |          | free   | h    | 1.9  | unsettled | withheld  |
      | 0       | ignore  |         |      |          | free   | h    | 2.0  | settled   | permitted |
      | 0       | check   |         |      |          | placed | h    | 1.0  | settled   | withheld  |
      | 0       | check   |         |      |          | placed |      | 1.0  | settled   | withheld  |
      | 0       | check   |         |      |          | placed | h    | 1.2  | settled   | permitted |
      | 0       | ignore  | 5       |      |          | free   | h    | 6.9  | unsettled | withheld  |
      | 0       | ignore  | 5       |      |          | free   | h    | 7.0  | settled   | permitted |
      | 0       | check   | 5       |      |          | free   | h    | 5.1  | settled   | permitted |
      | 0       | check   |         | h    | 9        | placed | h    | 9.1  | settled   | permitted |
      | 0       | check   |         | h    | 9        | placed | g    | 10.0 | settled   | withheld  |
      | 0       | check   |         | h    | 9        | placed | g    | 10.2 | settled   | permitted |
      | 0       | check   |         | h    | 9        | placed |      | 10.0 | settled   | withheld  |
      | 0       | check   |         | h    | 9        | placed |      | 10.2 | settled   | permitted |
