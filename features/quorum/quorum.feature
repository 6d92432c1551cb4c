Feature: The control quorum loses no accepted change, whatever happens to its processes

  Scenario Outline: Changes and reads while <fault>
    Given a running control quorum
    When 30 changes are applied while <fault>
    Then every accepted change stayed, and every read was current

    Examples:
      | fault                                           |
      | the leader is killed and started again          |
      | the leader is paused past its lease and resumed |
      | the leader is cut off in silence and comes back |
      | a follower is cut off in silence for long       |
      | all control processes are killed at once        |
      | a follower loses its disk                       |
      | a follower's disk is damaged                    |

  Scenario: The loss of the leader costs no request
    Given a running deployment with a group and a service
    When the control leader is killed while requests are sent
    Then every request was answered whole

  Scenario: A restart after 1000 changes loses nothing
    Given a running control quorum
    When 1000 changes are applied and all control processes are started anew
    Then every accepted change stayed, and every read was current
