Feature: A log file keeps what was synced and refuses what is damaged

  Scenario Outline: Reading a file after damage
    Given a log file with 5 entries
    When <damage>
    Then opening it gives <result>

    Examples:
      | damage                               | result            |
      | nothing happens to it                | 5 entries         |
      | its last 3 bytes are lost            | 4 entries         |
      | 7 bytes of noise are appended        | 5 entries         |
      | a byte of its first record is flipped | storage corrupt  |
      | an entry replaces entry 3            | 3 entries         |
