Feature: Slots while load returns to a domain

  Scenario Outline: <seconds> s after the end of an evacuation
    # A jump from no load to all of it overloads targets that have become cold.
    Then <slots> slots are <used> after <seconds> s

    Examples:
      | seconds | slots | used |
      | 0       | 24    | 6    |
      | 1.9     | 24    | 6    |
      | 2       | 24    | 12   |
      | 4       | 24    | 18   |
      | 6       | 24    | 24   |
      | 3600    | 24    | 24   |
      | 0       | 1     | 1    |
      | 0       | 0     | 0    |
