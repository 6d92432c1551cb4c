Feature: Groups serve only while complete and are repaired after faults of their members

  Scenario Outline: One fault in each failure domain under load
    Given engines that <fencing> fencing numbers, in a failure domain for each of "<faults>"
    When each fault happens in its failure domain under load
    Then every failure domain serves again
    And no group served with a member missing for longer than the bound
    And no request started at a group whose member had joined another
    And no engine received an order during another or returned to an older epoch
    And every request was answered completely or refused with its outcome

    Examples:
      | fencing | faults                                                                                     |
      | check   | a member's engine dies; a member dies and its successor too; the head gets no grants; the domain goes dark and returns |
      | ignore  | the head dies; a joining agent restarts mid-order; a member's agent pauses; the head's agent pauses; the head's renewals are lost |
