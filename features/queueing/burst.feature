Feature: In a burst of one kind the queue by rank serves more in time than an order by arrival does

  Guards against the measured day on which a burst of the most urgent kind had 421 of its 3,696
  requests refused, most of them twice. Callers return once, when they are told to, but at the latest
  after a third of the time that they have left.

  Scenario Outline: <mix> requests, and <kind> come at <factor> times their rate for 4 s
    Given callers of 24 accounts, of which three send half of all, with a mix of <mix> requests
    When <kind> come at <factor> times their rate for 4 s, seeds 0 to <last>
    Then the queue serves at least <answers>, <notices> and <digests> of answers, notices and digests
    And it serves at least <more> times as many answers in time as the present table
    And it refuses at most <twice> times as many answers twice as the present table
    And it refuses at most <twice> times as many answers twice as an order by arrival
    And its largest tenth of prompts of each kind is served at least half as often as the kind
    And each kind and each account is served at least a quarter as often as all
    And no caller waits beyond its objective, and the mean error of the expected times is below 0.2

    Examples: the mix that was measured, and one of equal rates
      | mix      | kind    | factor | last | answers | notices | digests | more | twice |
      | measured | answers | 3      | 5    | 0.85    | 0.75    | 0.75    | 1.0  | 0.8   |
      | measured | notices | 3      | 2    | 0.99    | 0.99    | 0.99    | 1.0  | 1.0   |
      | measured | digests | 3      | 2    | 0.99    | 0.99    | 0.99    | 1.0  | 1.0   |
      | equal    | answers | 3      | 5    | 0.99    | 0.97    | 0.95    | 1.08 | 0.05  |
      | equal    | notices | 3      | 5    | 0.99    | 0.99    | 0.96    | 1.03 | 0.05  |
      | equal    | digests | 3      | 5    | 0.99    | 0.99    | 0.98    | 1.03 | 0.05  |

  Scenario Outline: one account sends <part> of all requests, and answers come at <factor> times their rate
    Given callers of 24 accounts, of which one sends <part> of all, with a mix of measured requests
    When answers come at <factor> times their rate for 4 s, seeds 0 to 3
    Then the queue serves at least <others> of the requests of the other accounts, and more than an order by arrival
    And each kind and each account is served at least a quarter as often as all

    Examples: the others get their weighted max-min shares
      | part | factor | others |
      | 0.8  | 3      | 0.95   |
      | 0.6  | 3      | 0.95   |
      | 0.8  | 5      | 0.95   |

  Scenario Outline: a model's pace is <ratio> times that of its profile
    Given expected times of requests that take <ratio> times as long as their profile says
    When 200 of them have been measured
    Then the next one's expected times have an error below 0.1

    Examples: the measured times correct the computed ones
      | ratio |
      | 0.5   |
      | 1.0   |
      | 2.0   |
