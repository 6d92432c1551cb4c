Feature: The limit of a target follows the capacity of the target

  Scenario Outline: The limit settles near the number of slots of an engine
    Given an engine with <slots> slots and a ceiling of <ceiling>
    When <attempts> attempts run as many at once as the limit allows
    Then the limit is between <low> and <high>

    Examples:
      | slots | ceiling | attempts | low | high |
      | 4     | 32      | 400      | 4   | 6    |
      | 16    | 32      | 800      | 14  | 21   |
      | 1     | 32      | 200      | 1   | 2    |
      | 64    | 24      | 800      | 24  | 24   |

  Scenario Outline: Retries stay within the budget
    Given a retry budget with a burst of <burst>
    When <requests> requests earn <ratio> each and all are retried
    Then <retries> retries are made

    Examples:
      | burst | requests | ratio | retries |
      | 0     | 1000     | 0.1   | 0       |
      | 10    | 0        | 0.1   | 0       |
      | 10    | 1000     | 0.1   | 109     |
      | 10    | 1000     | 0.0   | 10      |

  Scenario Outline: An entry may use its share of a target, and free places beyond it
    Given a target with limit <limit> that <entries> entries compete for
    When <own> own attempts of <total> in flight are known
    Then there is room for another attempt: <room>

    Examples:
      | limit | entries | own | total | room |
      | 4     | 1       | 3   | 3     | yes  |
      | 4     | 1       | 4   | 4     | no   |
      | 4     | 2       | 1   | 4     | yes  |
      | 4     | 2       | 2   | 4     | no   |
      | 4     | 2       | 3   | 3     | yes  |
      | 1     | 2       | 0   | 1     | no   |

  Scenario Outline: The limit grows while long answers are still being generated
    Given an agent whose engine generates a token per answer every <token_time> s, without queueing
    When it is offered as many answers of 60 tokens as its limit allows for <seconds> s
    Then its limit is at least <limit>

    Examples:
      | token_time | seconds | limit |
      | 0.25       | 10      | 16    |
      | 0.032      | 1.8     | 16    |
