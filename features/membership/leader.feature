Feature: Losing the control leader breaks no group and costs no served request

  Scenario: The control leader dies under load
    Given two failure domains with groups, 3 control instances and long completions under way
    When the control leader is killed under load
    Then every answer was whole
    And no group was broken
