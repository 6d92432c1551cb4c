Feature: Raft keeps its invariants under network faults, crashes and lost disks

  Scenario Outline: Random histories on a <network> network
    Given <voters> voters on a network that is "<network>"
    When <histories> histories of <steps> steps run from seed <seed>
    Then no invariant was ever broken
    And after the faults a leader committed and all voters caught up

    Examples:
      | voters | network      | histories | steps | seed |
      | 1      | crashing     | 100       | 100   | 1    |
      | 3      | perfect      | 50        | 100   | 2    |
      | 3      | lossy        | 100       | 100   | 3    |
      | 3      | crashing     | 250       | 100   | 4    |
      | 3      | partitioned  | 250       | 100   | 5    |
      | 3      | snapshotting | 250       | 100   | 6    |
      | 3      | changing     | 200       | 100   | 7    |
      | 3      | disk losing  | 250       | 100   | 8    |
      | 3      | slow         | 200       | 150   | 9    |
      | 3      | everything   | 300       | 150   | 10   |
      | 4      | everything   | 60        | 150   | 11   |
      | 5      | everything   | 60        | 150   | 12   |

  # Guards against a voter that forgets a term, a vote or an entry that it has sent, or answers for
  # what its disk does not hold, when its disk fills or stalls, takes bytes again, and the process
  # crashes in between with a part of the failed write on the disk.
  Scenario Outline: Histories of <voters> voters whose disks fill, stall and recover, network <network>
    Given <voters> voters on a network that is "<network>"
    When <histories> histories of <steps> steps run from seed <seed>
    Then no invariant was ever broken
    And after the faults a leader committed and all voters caught up
    And disks recovered at least <recoveries> times, and at least <commits> entries were committed

    Examples:
      | voters | network                     | histories | steps | seed | recoveries | commits |
      | 1      | disk filling                | 100       | 300   | 40   | 100        | 1000    |
      | 3      | disk filling                | 200       | 500   | 41   | 500        | 3000    |
      | 3      | all disks filling           | 200       | 500   | 42   | 2000       | 1000    |
      | 3      | disks filling amid crashes  | 200       | 500   | 43   | 500        | 1000    |
      | 3      | everything and disk filling | 200       | 500   | 44   | 500        | 2000    |
      | 5      | disk filling                | 60        | 500   | 45   | 100        | 1000    |
      | 5      | everything and disk filling | 60        | 500   | 46   | 100        | 500     |

  # Guards against a candidate that stays one during a slow write of its own vote, and then asks for
  # votes in a term that the disk does not hold or that it has left meanwhile.
  Scenario Outline: Histories of <voters> voters with writes that are slow and then succeed, network <network>
    Given <voters> voters on a network that is "<network>"
    When <histories> histories of <steps> steps run from seed <seed>
    Then no invariant was ever broken
    And after the faults a leader committed and all voters caught up
    And disks recovered at least <recoveries> times, and at least <commits> entries were committed
    And candidates outlived at least <outlived> slow writes

    Examples:
      | voters | network                       | histories | steps | seed | recoveries | commits | outlived |
      | 1      | slow to write                 | 100       | 300   | 70   | 50         | 1000    | 0        |
      | 3      | slow to write                 | 100       | 400   | 71   | 500        | 1000    | 10       |
      | 3      | slow to write amid partitions | 100       | 400   | 72   | 500        | 500     | 10       |
      | 5      | slow to write amid partitions | 40        | 400   | 73   | 200        | 500     | 5        |

  # Guards against two leaders with valid leases after a restart: a voter that ends its wait early
  # votes although a leader that it answered before its restart still runs, or though the voters
  # have changed and it does not know the leader.
  Scenario Outline: Histories of <voters> voters that restart singly or together, network <network>
    Given <voters> voters on a network that is "<network>"
    When <histories> histories of <steps> steps run from seed <seed>
    Then no invariant was ever broken
    And after the faults a leader committed and all voters caught up

    Examples:
      | voters | network                   | histories | steps | seed |
      | 3      | restarting                | 200       | 400   | 50   |
      | 3      | losing power              | 200       | 400   | 51   |
      | 3      | changing and losing power | 300       | 400   | 52   |
      | 5      | restarting                | 60        | 400   | 53   |
      | 5      | changing and losing power | 60        | 400   | 54   |

  # Guards against a return from a loss of power that waits out leases which nobody can hold: the wait
  # after a start alone takes an election timeout. Times are those of the simulated network.
  Scenario Outline: <voters> voters that all restart elect a leader sooner than their wait, network <network>
    Given <voters> voters on a network that is "<network>"
    When all voters restart at once in 200 histories from seed <seed>
    Then half of them commit within <timeouts> election timeouts
    And no invariant was ever broken
    And after the faults a leader committed and all voters caught up

    Examples:
      | voters | network | seed | timeouts |
      | 3      | perfect | 60   | 0.8      |
      | 5      | perfect | 61   | 0.8      |
      | 3      | lossy   | 62   | 1.1      |

  Scenario Outline: A first start of <voters> voters outlives its first leader, network <network>
    Given <voters> voters on a network that is "<network>"
    When the first leader of 200 first starts from seed <seed> is lost at its commit
    Then after the faults a leader committed and all voters caught up

    Examples:
      | voters | network | seed |
      | 3      | perfect | 30   |
      | 3      | lossy   | 31   |
      | 5      | lossy   | 32   |

  # Guards against a first start that waits for a voter that is lost during it (review/5).
  Scenario Outline: A stated first start of <voters> voters without <lost> of them, network <network>
    Given <voters> voters on a network that is "<network>"
    When <histories> first starts that are stated begin without <lost> voters from seed <seed>
    Then after the faults a leader committed and all voters caught up

    Examples:
      | voters | lost | network | histories | seed |
      | 3      | 1    | perfect | 100       | 80   |
      | 3      | 1    | lossy   | 100       | 81   |
      | 5      | 2    | lossy   | 50        | 82   |

  # Guards against empty disks that elect a leader beside the voters of the log (review/1): a disk
  # that is emptied later knows no voters.
  Scenario Outline: Histories of <voters> voters after a stated first start, network <network>
    Given <voters> voters on a network that is "<network>"
    When <histories> histories of <steps> steps follow a stated first start from seed <seed>
    Then no invariant was ever broken
    And after the faults a leader committed and all voters caught up

    Examples:
      | voters | network     | histories | steps | seed |
      | 3      | disk losing | 200       | 200   | 83   |
      | 3      | everything  | 200       | 200   | 84   |
      | 5      | everything  | 60        | 200   | 85   |

  Scenario Outline: The checks detect a voter that <rule>
    Given 3 voters on a network that is "<network>"
    And each voter "<rule>"
    When up to <histories> histories of <steps> steps run from seed <seed>, until one fails
    Then an invariant was broken

    Examples:
      | rule                    | network     | histories | steps | seed |
      | forgets its vote        | everything  | 300       | 200   | 20   |
      | answers before the sync | crashing    | 300       | 200   | 21   |
      | votes on an empty disk  | everything  | 300       | 200   | 22   |
      | has no lease            | partitioned | 300       | 200   | 23   |
      | repairs without what failed | disks filling amid crashes | 300 | 500 | 24 |
      | answers without its disk    | all disks filling          | 300 | 500 | 25 |
      | sends before a slow write ends | slow to write amid partitions | 300 | 500 | 28 |
      | votes at once after a restart       | restarting | 400 | 400 | 26 |
      | believes a majority after a restart | restarting | 400 | 400 | 27 |
