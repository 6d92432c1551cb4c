Feature: The replicated log stays one log whatever the network and the voters do

  Scenario Outline: Random histories of loss, reordering, duplication, crash and restart
    Given <voters> voters with a network that <network>
    When <histories> random histories of <steps> steps run from seed <seed>
    Then no two voters ever disagreed on a committed entry
    And no term ever had two leaders
    And no leader whose lease was valid had stale committed entries

    Examples:
      | voters | network                  | histories | steps | seed |
      | 1      | is perfect               | 20        | 200   | 1    |
      | 3      | is perfect               | 20        | 400   | 2    |
      | 3      | loses and doubles frames | 60        | 400   | 3    |
      | 3      | crashes voters           | 60        | 400   | 4    |
      | 5      | loses and doubles frames | 20        | 400   | 5    |
      | 5      | crashes voters           | 20        | 400   | 6    |
