Feature: A drain interrupts no request, and its targets get no new work

  Scenario Outline: A drain under load
    Given two failure domains with groups and long completions in progress
    When a drain of <scope> begins under load
    Then every answer was complete
    And the drained engines started no request after the bound and belong to no group

    Examples:
      | scope              |
      | the head           |
      | the group          |
      | the failure domain |
