Feature: A planned stop cuts nothing, and what is leaving gets no new work

  Scenario Outline: A planned stop under load
    Given two failure domains with groups and long completions under way
    When a planned stop of <scope> begins under load
    Then every answer was whole
    And the stopped engines started nothing after the bound, and are free

    Examples:
      | scope              |
      | the head           |
      | the group          |
      | the failure domain |
