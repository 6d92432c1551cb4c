Feature: Only complete events are passed on, each once, also across several targets

  Scenario Outline: <case>
    Given a caller that has the events up to <last>
    When the pieces "<pieces>" arrive
    Then the events passed on are "<passed>" and an incomplete event is left: <left>

    Examples: "n" stands for an event with that id, "n-" for its first half and "-n" for the second
      | case                                            | last | pieces      | passed | left |
      | complete events                                 | -1   | 0 1 2       | 0 1 2  | no   |
      | an event in two pieces                          | -1   | 0 1- -1     | 0 1    | no   |
      | the end of a stream in the middle of an event   | -1   | 0 1 2-      | 0 1    | yes  |
      | a new target repeats events that were passed on | -1   | 0 1 \| 1 2  | 0 1 2  | no   |
      | a new target after an incomplete event          | -1   | 0 1- \| 1 2 | 0 1 2  | no   |
      | a caller that resumes                           | 4    | 4 5 6       | 5 6    | no   |
      | several events in one piece                     | -1   | 0+1+2-      | 0 1    | yes  |
      | an event is missing                             | -1   | 0+2+3       | 0      | no   |
      | a new target after a gap                        | -1   | 0+2 \| 1+2  | 0 1 2  | no   |

  # Guards against an error in the reading of an answer, which its caller then does not get.
  Scenario: an event whose id is a number of 5000 digits is passed on
    Given a caller that has the events up to -1
    When an event with an id of 5000 digits arrives
    Then it is passed on unchanged

  Scenario Outline: an event of <size> KiB that arrives in pieces of 16 KiB
    Given a caller that has the events up to -1
    When an event of <size> KiB arrives in pieces of 16 KiB
    Then the stream is <state>, and at most <held> KiB are held

    Examples: bytes that are no events may come without end
      | size  | state         | held |
      | 128   | still usable  | 128  |
      | 4096  | given up      | 256  |
