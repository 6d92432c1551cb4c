Feature: The loss of the control leader breaks no group and interrupts no request

  Scenario: The control leader is killed under load
    Given two failure domains with groups, 3 control instances and long completions in progress
    When the control leader is killed under load
    Then every answer was complete
    And no group was broken
