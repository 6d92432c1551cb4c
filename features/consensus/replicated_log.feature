Feature: Replicated logs on disk elect, commit, compact, change voters and tolerate disk faults

  Scenario Outline: A log after <event>
    Given 3 connected logs and a spare
    And 200 committed commands of 20000 bytes
    When this happens to the log: <event>
    Then another command commits, and all voters reach the same state

    Examples:
      | event                                     |
      | the spare joins                           |
      | the leader is removed                     |
      | a follower is removed                     |
      | a follower is removed while it runs       |
      | a follower is restarted                   |
      | a follower loses its folder               |
      | a follower's snapshot is damaged          |
      | the leader transfers leadership and stops |
      | a follower's disk is full                 |
      | the leader's disk is full                 |

  Scenario: Old entries are removed from the disk
    Given 3 connected logs and a spare
    And 200 committed commands of 20000 bytes
    Then each folder holds less than 3000000 bytes

  Scenario: A single-voter log with a damaged snapshot does not start
    Given a single-voter log with a damaged snapshot
    Then its start fails with storage corrupt
