Feature: Orders that move engines into the groups agreed on by control

  A group is NAME@EPOCH:MEMBERS, the first is the head. An engine is ID or ID=GROUP@EPOCH/RANK/STATE.

  Scenario Outline: <case>
    Given the groups "<groups>"
    And the engines "<engines>"
    Then the orders are "<orders>"

    Examples:
      | case                                              | groups  | engines                                     | orders                 |
      | a new group                                       | g@1:abc | a b c                                       | join a, join b, join c |
      | the head waits for members that join              | g@1:abc | a=g@1/0/ready b=g@1/1/joining c=g@1/2/ready |                        |
      | a head opens only when all are ready              | g@1:abc | a=g@1/0/ready b=g@1/1/ready c               | join c                 |
      | all are ready                                     | g@1:abc | a=g@1/0/ready b=g@1/1/ready c=g@1/2/ready   | open a                 |
      | an unresponsive member keeps the group closed     | g@1:abc | a=g@1/0/ready b=g@1/1/ready                 |                        |
      | a serving group needs no order                    | g@1:ab  | a=g@1/0/open b=g@1/1/ready                  |                        |
      | a repair makes all members join again             | g@2:abd | a=g@1/0/open b=g@1/1/ready d                | join a, join b, join d |
      | a member of another group leaves it first         | g@2:ab  | a b=h@1/1/ready                             | join a, leave b        |
      | the head of another group closes it first         | g@2:ab  | a b=h@1/0/open                              | join a, close b        |
      | a released head that still serves is closed       |         | a=g@1/0/open                                | close a                |
      | a free engine that warms up is not interrupted    |         | a=warm-up-a@1/0/joining                     |                        |
      | a free engine that has warmed up leaves           |         | a=warm-up-a@1/0/ready                       | leave a                |
      | a released member leaves                          |         | a=g@1/1/ready                               | leave a                |
      | a free engine gets no order                       |         | a                                           |                        |
      | an epoch newer than the known one is not reverted | g@1:ab  | a=g@2/0/open b=g@2/1/ready                  |                        |
      | a head that is open under an older epoch joins    | g@3:ab  | a=g@2/0/open b=g@3/1/ready                  | join a                 |

  Scenario Outline: a member announces that it leaves, and <case>
    Given the groups "<groups>"
    And the engines "<engines>"
    When a member of "<leaving>" announces that it leaves
    Then the orders are "<orders>"

    Examples: the group completes its work before its members are moved
      | case                                 | groups        | engines                                                | leaving | orders          |
      | the head still serves                | g@1:ab        | a=g@1/0/open b=g@1/1/ready                             | g       | drain a         |
      | the head completes its work          | g@1:ab        | a=g@1/0/closing b=g@1/1/ready                          | g       |                 |
      | the head has completed its work      | g@1:ab        | a=g@1/0/ready b=g@1/1/ready                            | g       |                 |
      | the group has not been opened        | g@1:ab        | a=g@1/0/ready b                                        | g       |                 |
      | the head serves under an older epoch | g@2:ab        | a=g@1/0/open b=g@1/1/ready                             | g       |                 |
      | another group continues              | g@1:ab h@2:cd | a=g@1/0/open b=g@1/1/ready c=h@2/0/ready d=h@2/1/ready | g       | drain a, open c |
