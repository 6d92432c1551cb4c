Feature: The control quorum loses no accepted change when its processes and disks fail

  Scenario Outline: Changes and reads while <fault>
    Given a running control quorum
    When 30 changes are applied while <fault>
    Then no accepted change was lost, and every read was current

    Examples:
      | fault                                           |
      | the leader is killed and restarted              |
      | the leader is paused past its lease and resumed |
      | the leader is partitioned and reconnected       |
      | a follower is partitioned and reconnected       |
      | all control processes are killed at once        |
      | a follower loses its disk                       |
      | a follower's disk is damaged                    |

  Scenario: No request fails when the leader is lost
    Given a running deployment with a group and a service
    When the control leader is killed while requests are sent
    Then every request got a complete answer

  Scenario: A restart of all control processes loses none of 1000 changes
    Given a running control quorum
    When 1000 changes are applied and all control processes are restarted
    Then no accepted change was lost, and every read was current
