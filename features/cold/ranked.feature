Feature: A target that may be cold is held to its bound where requests wait by rank

  # Guards against grants of the queue that are not counted in the window, and against a permission to
  # send that is counted from the end of the wait as the gateway sees it.
  Scenario Outline: requests of three ranks at <factor> times the bound of two cold targets
    Given ranked requests for two cold targets at <factor> times their bound of 44 in a second
    When they wait at the owner for 6 s, are granted and sent at any time until they may, seeds 0 to 4
    Then no target gets more than 44 of them in any second
    And each target gets at least 0.9 of what the window of 1.1 s allows
    And at least <waited> of them were granted after a wait, the urgent ones most

    Examples:
      | factor | waited |
      | 1.5    | 100    |
      | 4      | 100    |

  # Guards against a wait at the owner that extends the time for a send, and one that uses it up.
  Scenario Outline: a request that has waited is granted, and the grant arrives <late> s late
    Given three owners that may lead, and a place held at the first one with a cold rate of 26
    When a request waits there, the place is given back, and messages take <late> s
    Then the request has waited, and its permission to send <state>

    Examples:
      | late | state             |
      | 0    | is valid          |
      | 0.1  | has expired       |
