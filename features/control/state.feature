Feature: The control state survives a snapshot, and a resent command gets its first answer

  Scenario Outline: A state restored from its snapshot behaves as the original
    Given a control state after "<history>"
    When the state is dumped and loaded
    Then both states answer "<next>" with "<answer>"
    And both states dump the same bytes

    Examples:
      | history                                   | next             | answer      |
      | apply x 0                                 | apply x 0        | accepted 1  |
      | apply x 0                                 | apply y 0        | conflict 1  |
      | apply x 0; apply y 0                      | apply y 0        | conflict 1  |
      | preset p 0 peak                           | preset q 1 peak  | refused     |
      | preset p 0 peak; commit 1                 | preset q 1 ordinary | accepted 2 |
      | preset p 0 peak; commit 1                 | preset q 0 ordinary | conflict 1 |
      | form a b                                  | form b c         | refused     |
      | form a b; dissolve 1                      | form a c         | refused     |
      | form a b; dissolve 1; release a 1         | form a c         | accepted 2  |
      | form a b; repair 1 a c                    | form b d         | refused     |
      | form a b; repair 1 a c; release b 1       | form b d         | accepted 3  |
      | drain d instance a                        | drain d instance a | accepted 1 |
      | quarantine p q                            | quarantine p     | accepted 1  |
