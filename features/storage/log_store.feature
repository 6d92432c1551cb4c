Feature: A log folder keeps synced entries and refuses damaged ones

  Scenario Outline: Reading a folder after damage
    Given a log folder with 5 entries
    When <damage>
    Then opening it gives <result>

    Examples:
      | damage                                | result          |
      | nothing happens to it                 | 5 entries       |
      | its last 3 bytes are lost             | 4 entries       |
      | 7 bytes of noise are appended         | 5 entries       |
      | 300000 bytes of noise are appended    | 5 entries       |
      | a byte of its first record is flipped | storage corrupt |
      | a byte of its third record is flipped | storage corrupt |
      | an entry replaces entry 3             | 3 entries       |

  Scenario Outline: Reading a folder with a snapshot of the first 3 entries after damage
    Given a log folder with 5 entries
    And a snapshot of the first 3 entries
    When <damage>
    Then opening it gives <result>

    Examples:
      | damage                          | result                     |
      | nothing happens to it           | a snapshot and 2 entries   |
      | a draft of a snapshot is left   | a snapshot and 2 entries   |
      | the segment before it is left   | a snapshot and 2 entries   |
      | a byte of the snapshot is flipped | storage corrupt          |
      | the snapshot is removed         | storage corrupt            |
      | the segment is removed          | storage corrupt            |

  Scenario Outline: A disk that fails during <operation>
    Given a log folder with 5 entries
    And a disk that fails at <fault>
    When <operation> is tried
    Then it fails with storage failed, and so does every later write
    And opening it gives 5 entries

    Examples:
      | fault                    | operation        |
      | the first byte           | an append        |
      | the middle of a write    | an append        |
      | the middle of a write    | a snapshot       |
      | the rename of a snapshot | a snapshot       |

  Scenario: A sync that fails acknowledges nothing
    Given a log folder with 5 entries
    And a disk that fails at the sync
    When an append is tried
    Then it fails with storage failed, and so does every later write

  Scenario: A large folder is read in one pass
    Given a log folder with 20000 small entries
    When 300000 bytes of noise are appended
    Then opening it gives 20000 entries
