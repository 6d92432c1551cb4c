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

  # Guards against a control process that ends at its first write to a full disk, and against a quorum
  # that does not return when disks take bytes again. The kernel refuses the writes of the real
  # processes (a limit on the size of their files).
  Scenario Outline: Changes and reads while <fault>, and no process ends
    Given a running control quorum
    When 30 changes are applied while <fault>
    Then no accepted change was lost, and every read was current
    And no control process has ended, and each affected one reported its disk

    Examples:
      | fault                               |
      | the leader's disk is full for 3 s   |
      | a follower's disk is full for 3 s   |
      | all disks are full for 3 s          |

  Scenario: No request fails when the leader is lost
    Given a running deployment with a group and a service
    When the control leader is killed while requests are sent
    Then every request got a complete answer

  Scenario: A restart of all control processes loses none of 1000 changes
    Given a running control quorum
    When 1000 changes are applied and all control processes are restarted
    Then no accepted change was lost, and every read was current
