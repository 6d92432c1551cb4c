Feature: Only whole events are passed on, each once, also over several targets

  Scenario Outline: <case>
    Given a caller that has the events up to <last>
    When the pieces "<pieces>" arrive
    Then the events passed on are "<passed>" and a part is left: <left>

    Examples: "n" stands for an event with that id, "n-" for its first half and "-n" for the second
      | case                                        | last | pieces      | passed  | left |
      | whole events                                | -1   | 0 1 2       | 0 1 2   | no   |
      | an event in two pieces                      | -1   | 0 1- -1     | 0 1     | no   |
      | the end of a stream in the middle           | -1   | 0 1 2-      | 0 1     | yes  |
      | a new target repeats what was passed on     | -1   | 0 1 \| 1 2  | 0 1 2   | no   |
      | a new target after a part                   | -1   | 0 1- \| 1 2 | 0 1 2   | no   |
      | a caller that resumes                       | 4    | 4 5 6       | 5 6     | no   |
      | several events in one piece                 | -1   | 0+1+2-      | 0 1     | yes  |
      | an event is missing                         | -1   | 0+2+3       | 0       | no   |
      | a new target after a gap                    | -1   | 0+2 \| 1+2 | 0 1 2   | no   |
