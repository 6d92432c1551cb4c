Feature: A voter whose disk takes no write goes on without its vote and votes again later

  # Guards against a voter that ends, or that stops for good, at the first write that fails, against
  # one that answers for what its disk does not hold, and against a loop that waits for a stalled
  # disk, and against an error of another kind that ends the log's writes for good without a report.
  # After the recovery the quorum needs the voter, and it restarts from its folder.
  Scenario Outline: The disk of <voter> <fault> and recovers
    Given 3 connected logs with faulty disks, and 40 commands
    When the disk of "<voter>" <fault> while 20 more commands commit
    Then its condition is <condition>, and it acknowledged nothing meanwhile
    And the loop never waited for its disk
    When that disk recovers, and another voter stops
    Then 10 more commands commit with its vote
    And after a restart of all voters no acknowledged command is lost

    Examples:
      | voter      | fault           | condition |
      | the leader | is full         | failed    |
      | the leader | fails each sync | failed    |
      | the leader | stalls          | slow      |
      | the leader | raises an unexpected error | failed |
      | a follower | raises an unexpected error | failed |
      | a follower | is full         | failed    |
      | a follower | fails each sync | failed    |
      | a follower | stalls          | slow      |

  # Guards against a leader that keeps its leadership while each of its writes holds its rounds back.
  Scenario: A leader with a slow disk hands leadership on, and its disk is used again
    Given 3 connected logs with faulty disks, and 40 commands
    When the disk of "the leader" is slow while 20 more commands commit
    Then another voter leads
    When that disk recovers, and another voter stops
    Then 10 more commands commit with its vote
    And after a restart of all voters no acknowledged command is lost

  # Guards against a voter without peers that gives up its election, or its leadership and all that
  # was proposed, at each write that is slow but succeeds.
  Scenario: A single voter with a slow disk is elected and commits
    Given a single log whose disk is slow from its start
    When 5 commands are proposed to it one after another
    Then it commits each of them in one term
    And a command proposed to it during a long stall is answered before the stall ends

  # Guards against a proposal that waits as long as the disk stalls, because the leader had learned of
  # a newer term before its write counted as slow.
  Scenario: A proposal is answered when its leader loses its term during a stall
    Given 3 connected logs with faulty disks, and 40 commands
    When the leader's disk stalls in a proposal, and a voter reports a newer term at once
    Then the proposal is refused before the stall ends

  # Guards against voters that never elect a leader, or leaders that give up before they commit,
  # because each write takes longer than an election timeout and none of the disks is quicker. The
  # third row also outlasts the time after which a write counts as stalled, 1.2 s.
  Scenario Outline: Voters whose disks all take <seconds> s for a write elect a leader and commit
    Given 3 connected logs with faulty disks, and 40 commands
    When each write on every disk takes <seconds> s while 5 more commands commit
    Then after a restart of all voters no acknowledged command is lost

    Examples:
      | seconds |
      | 0.4     |
      | 0.9     |
      | 1.3     |

  # Guards against a start that ends because the folder cannot be created on a full disk, or that
  # waits without end for a disk that does not answer.
  Scenario Outline: A voter starts with a disk that <fault>, on <folder>
    Given 3 connected logs with faulty disks, and 40 commands
    When a follower restarts on <folder> and a disk that <fault>
    Then 10 commands commit without it, and it names the leader
    When that disk recovers, and another voter stops
    Then 10 more commands commit with its vote
    And after a restart of all voters no acknowledged command is lost

    Examples:
      | fault   | folder          |
      | is full | its folder      |
      | stalls  | its folder      |
      | is full | an empty folder |

  # Guards against a folder that is read as another state than the one acknowledged, whichever write
  # failed and whichever attempt at a repair failed before: a switch of segments that may or may not
  # be durable, a page cache that holds what the disk does not, a torn batch at the end.
  Scenario Outline: A folder is repaired after <operation> failed at <fault>, the repair first at <second>
    Given a log folder with 5 entries
    And a disk that fails at <fault>
    When <operation> is tried
    And a repair with 7 entries meets <second>
    Then a repair succeeds, and opening it gives 7 entries in <files> segment

    Examples:
      | operation  | fault                        | second                       | files |
      | an append  | the first byte               | nothing                      | 1     |
      | an append  | the middle of a write        | nothing                      | 1     |
      | an append  | the middle of a write        | the middle of a write        | 1     |
      | an append  | the sync                     | nothing                      | 1     |
      | an append  | the sync                     | the middle of a write        | 1     |
      | an append  | the sync                     | the rename of a snapshot     | 1     |
      | an append  | the sync                     | the sync of a renamed file   | 1     |
      | a snapshot | the middle of a write        | nothing                      | 1     |
      | a snapshot | the rename of a snapshot     | the sync                     | 1     |
      | a snapshot | the sync of a renamed file   | nothing                      | 1     |
      | a snapshot | the sync of a renamed file   | the middle of a write        | 1     |
      | a snapshot | the sync of a renamed file   | the sync of a renamed file   | 1     |

  # Guards against a compaction that ends the use of a disk on which the snapshot does not fit.
  Scenario: A snapshot that does not fit leaves the log usable
    Given a log folder with 5 entries
    And a disk that fails at the rename of a snapshot
    When a compaction adds entry 6
    Then it reports that nothing was replaced
    And opening it gives 6 entries
