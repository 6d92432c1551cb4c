Feature: The timeline picture shows every process and marks dropped events

  Scenario Outline: <events> events of <nodes> processes with <dropped> dropped are drawn
    Given <events> events of each of <nodes> processes, and <dropped> dropped at the first
    When the picture is drawn
    Then it has <lanes> lanes, <marks> marks and <ellipses> ellipses

    Examples:
      | events | nodes | dropped | lanes | marks | ellipses |
      | 0      | 1     | 0       | 0     | 0     | 0        |
      | 0      | 1     | 5       | 1     | 0     | 1        |
      | 1      | 1     | 0       | 1     | 1     | 0        |
      | 3      | 4     | 0       | 4     | 12    | 0        |
      | 3      | 4     | 7       | 4     | 12    | 1        |

  Scenario: markup in a subject is escaped
    Given an event whose subject is "<script>&"
    When the picture is drawn
    Then the picture holds no element "script"
