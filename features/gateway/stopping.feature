Feature: A gateway that is stopped sends the answers that it holds

  # Guards against the case 4 of review/REPORT.md: answers were cut with most of the grace period left.
  Scenario Outline: a gateway drains while a caller reads <what> at 4 MB/s
    Given a gateway with a grace period of 8 s and a target that answers with <what>
    When a caller reads its answer slowly, and the gateway drains once that has begun
    Then the gateway ends within 5 s, when the caller has read all but what the kernel holds

    Examples:
      | what                                 |
      | a body of 8 MiB                      |
      | a stream of 8 MiB                    |

  Scenario: a gateway drains while a caller reads nothing
    Given a gateway with a grace period of 2 s and a target that answers with a body of 8 MiB
    When a caller reads nothing of its answer, and the gateway drains once that has begun
    Then the gateway ends between 1 and 2 s later
