Feature: Logs are bounded and never block the process

  Scenario Outline: <lines> lines at once of a kind limited to <limit> a second, and one <later> s later
    Given a log budget
    When <lines> lines of a kind limited to <limit> a second are logged at once, and one more <later> s later
    Then <written> of the first are written, the last one <last>, and <suppressed> are counted as suppressed

    Examples: the lines of two seconds may be written at once
      | lines | limit | later | written | last          | suppressed |
      | 10    | 50    | 0     | 10      | is written    | 0          |
      | 100   | 50    | 0     | 100     | is suppressed | 1          |
      | 1000  | 50    | 1     | 100     | is written    | 900        |
      | 1000  | 50    | 0     | 100     | is suppressed | 901        |

  Scenario Outline: the reader of a pipe <reader> while <lines> lines of 1 KiB are logged
    Given a log that goes to a pipe whose reader <reader>
    When <lines> lines of 1 KiB are logged
    Then no line took longer than 50 ms and less than 1 MiB is buffered
    And the reader gets complete lines, and <lost>

    Examples: a pipe holds 64 KiB, the writer 256 KiB
      | reader          | lines | lost                             |
      | reads           | 2000  | none is missing                  |
      | does not read   | 100   | none is missing                  |
      | does not read   | 2000  | the missing ones are counted     |

  Scenario: the output fails
    Given a log that goes to a pipe whose reader has closed it
    When 10 lines of 1 KiB are logged
    Then no line took longer than 50 ms and less than 1 MiB is buffered

  Scenario Outline: every record has <what>
    Then every kind of record has <what>

    Examples:
      | what                                   |
      | fields that a logger accepts           |
      | a form that decodes to the same record |
