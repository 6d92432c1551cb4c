Feature: The queue of an entry keeps what can be in time and drops the rest at once

  # A request is NAME:ACCOUNT:WEIGHT:WORK:DEADLINE, in the order of arrival. All arrive at time 0.
  Scenario Outline: What is dropped and in which order the rest is sent
    Given a queue of at most <limit> requests before <slots> slots with <running> s of running work
    When the requests "<requests>" arrive
    Then "<dropped>" are dropped and "<sent>" are sent in this order

    Examples: Within capacity nothing is dropped and the nearest deadline goes first
      | limit | slots | running | requests                        | dropped | sent  |
      | 9     | 1     | 0       | a:x:1:1:9 b:x:1:1:2             |         | b a   |
      | 9     | 2     | 0       | a:x:1:2:2 b:x:1:2:9 c:x:1:1:4   |         | a c b |
      | 9     | 0     | 0       | a:x:1:2:3 b:x:1:2:3             |         | a b   |

    Examples: Beyond capacity the least weight for a second of work gives way
      | limit | slots | running | requests                        | dropped           | sent |
      | 9     | 1     | 0       | a:x:1:2:2 b:x:2:2:3             | a:overloaded      | b    |
      | 9     | 1     | 0       | a:x:2:2:2 b:x:1:2:3             | b:overloaded      | a    |
      | 9     | 1     | 0       | a:x:1:3:4 b:x:1:1:4 c:x:1:1:4   | a:overloaded      | b c  |
      | 9     | 1     | 3       | a:x:1:2:4 b:x:1:2:9             | a:overloaded      | b    |
      | 1     | 4     | 0       | a:x:1:1:9 b:x:3:1:9             | a:overloaded      | b    |
      | 9     | 1     | 0       | a:x:1:3:2 b:x:1:1:9             | a:deadline_too_near | b  |

    Examples: An account above its share gives way before the others
      | limit | slots | running | requests                                          | dropped              | sent  |
      | 9     | 1     | 0       | a:g:9:1:2 b:g:9:1:2 c:g:9:1:2 d:s:1:0.1:2         | a:overloaded b:account_over_share | c d |
      | 9     | 1     | 0       | a:g:1:1:5 b:g:1:1:5 c:s:1:1:5                     |                      | a b c |

  Scenario Outline: What an account leaves of its share is lent to the others
    Given accounts that ask for "<demands>" with the shares "<shares>"
    When <capacity> is divided
    Then the accounts above their share are "<over>"

    Examples:
      | demands     | shares      | capacity | over |
      | a:1 b:1     | a:1 b:1     | 4        |      |
      | a:9 b:1     | a:1 b:1     | 4        | a    |
      | a:3 b:1     | a:1 b:1     | 4        |      |
      | a:9 b:9     | a:1 b:1     | 4        | a b  |
      | a:9 b:3 c:1 | a:1 b:1 c:1 | 9        | a    |
      | a:6 b:3     | a:3 b:1     | 8        | b    |

  Scenario: The advice when to come back is the time that the backlog takes
    Given a queue of at most 9 requests before 1 slots with 2 s of running work
    When the requests "a:x:9:3:8 b:x:1:4:7" arrive
    Then the dropped request may come back after 5 s
