Feature: A process writes its logs to standard output and serves its metrics

  Guards against logs that go to standard error, where they mix with errors of the start, and against
  processes without an entry whose counters nobody can read.

  Scenario Outline: a control process with a metrics address, asked for <path>
    Given a settings file of a control process with a metrics address
    When the process runs and its metrics address is asked for <path>
    Then the answer is <status> and <content>
    And standard output has only JSON lines, and standard error is empty

    Examples:
      | path       | status | content                             |
      | /metrics   | 200    | has the counters of its connections |
      | /metrics/x | 404    | is empty                            |
