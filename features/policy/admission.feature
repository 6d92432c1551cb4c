Feature: The queue of an entry keeps requests that can meet their deadlines and drops the others at once

  # A request is NAME:ACCOUNT:WEIGHT:WORK:DEADLINE, in the order of arrival. All arrive at time 0.
  Scenario Outline: Dropped requests, and the order in which the others are sent
    Given a queue of at most <limit> requests before <slots> slots with <running> s of running work
    When the requests "<requests>" arrive
    Then "<dropped>" are dropped and "<sent>" are sent in this order

    Examples: Within capacity nothing is dropped and the request with the nearest deadline is sent first
      | limit | slots | running | requests                        | dropped | sent  |
      | 9     | 1     | 0       | a:x:1:1:9 b:x:1:1:2             |         | b a   |
      | 9     | 2     | 0       | a:x:1:2:2 b:x:1:2:9 c:x:1:1:4   |         | a c b |
      | 9     | 0     | 0       | a:x:1:2:3 b:x:1:2:3             |         | a b   |

    Examples: Beyond capacity the request with the least weight per second of work is dropped
      | limit | slots | running | requests                        | dropped           | sent |
      | 9     | 1     | 0       | a:x:1:2:2 b:x:2:2:3             | a:overloaded      | b    |
      | 9     | 1     | 0       | a:x:2:2:2 b:x:1:2:3             | b:overloaded      | a    |
      | 9     | 1     | 0       | a:x:1:3:4 b:x:1:1:4 c:x:1:1:4   | a:overloaded      | b c  |
      | 9     | 1     | 3       | a:x:1:2:4 b:x:1:2:9             | a:overloaded      | b    |
      | 1     | 4     | 0       | a:x:1:1:9 b:x:3:1:9             | a:overloaded      | b    |
      | 9     | 1     | 0       | a:x:1:3:2 b:x:1:1:9             | a:deadline_too_near | b  |

    Examples: Requests of an account above its share are dropped first
      | limit | slots | running | requests                                          | dropped              | sent  |
      | 9     | 1     | 0       | a:g:9:1:2 b:g:9:1:2 c:g:9:1:2 d:s:1:0.1:2         | a:overloaded b:account_over_share | c d |
      | 9     | 1     | 0       | a:g:1:1:5 b:g:1:1:5 c:s:1:1:5                     |                      | a b c |

  Scenario Outline: Other accounts may use what an account leaves of its share
    Given accounts that ask for "<demands>" with the shares "<shares>"
    When a capacity of <capacity> is divided
    Then the accounts above their share are "<over>"

    Examples:
      | demands     | shares      | capacity | over |
      | a:1 b:1     | a:1 b:1     | 4        |      |
      | a:9 b:1     | a:1 b:1     | 4        | a    |
      | a:3 b:1     | a:1 b:1     | 4        |      |
      | a:9 b:9     | a:1 b:1     | 4        | a b  |
      | a:9 b:3 c:1 | a:1 b:1 c:1 | 9        | a    |
      | a:6 b:3     | a:3 b:1     | 8        | b    |

  Scenario: A dropped request is to be retried after the time that the backlog takes
    Given a queue of at most 9 requests before 1 slots with 2 s of running work
    When the requests "a:x:9:3:8 b:x:1:4:7" arrive
    Then the dropped request may be retried after 5 s
