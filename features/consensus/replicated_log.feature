Feature: Logs with real folders elect, commit, compact, change their voters and survive their disks

  Scenario Outline: A log after <event>
    Given 3 connected logs and a spare one
    And 200 committed commands of 20000 bytes
    When to the log: <event>
    Then another command commits, and all voters come to the same state

    Examples:
      | event                                 |
      | the spare joins                       |
      | the leader is removed                 |
      | a follower is removed                 |
      | a follower is started again           |
      | a follower loses its folder           |
      | a follower's snapshot is damaged      |
      | the leader hands on and is stopped    |
      | a follower's disk is full             |
      | the leader's disk is full             |

  Scenario: Old entries leave the disk and the memory
    Given 3 connected logs and a spare one
    And 200 committed commands of 20000 bytes
    Then each folder holds less than 3000000 bytes

  Scenario: A sole log that is damaged is refused
    Given a sole log with a damaged snapshot
    Then its start fails with storage corrupt
