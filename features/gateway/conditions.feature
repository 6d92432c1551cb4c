Feature: A gateway keeps to what a target says in its answers about the requests that it takes

  # Guards against the incident BUDGET (rest), in which a target got 6 requests in 3 s of rest.
  Scenario Outline: a target of kind <kind> asks for 1.5 s of rest, <owner> grants places, and <what>
    Given a gateway with two targets, of which the first one used asks for 1.5 s of rest
    And <owner> that grants places
    When 4 requests of kind <kind> are sent, <what>, and 4 more are sent
    Then that target received 1 request in its rest, and each caller got its answer
    And 1.5 s later that target receives requests again

    Examples: a rest outlasts the load record of a target
      | kind       | owner    | what                                      |
      | once       | no owner | nothing happens                           |
      | idempotent | no owner | nothing happens                           |
      | stream     | no owner | nothing happens                           |
      | stream     | an owner | nothing happens                           |
      | stream     | no owner | the groups get a new epoch                |
      | stream     | an owner | the groups get a new epoch                |
      | stream     | no owner | that target is not in the view for 0.1 s  |
      | once       | no owner | that target is not in the view for 0.1 s  |
      | stream     | no owner | the other target fails                    |
      | once       | no owner | the other target fails                    |

  Scenario Outline: the only target of kind <kind> asks for 1.5 s of rest
    Given a gateway with two targets, of which the first one used asks for 1.5 s of rest
    But only one of them is granted
    When 3 requests of kind <kind> are sent in a row
    Then each was refused within 0.3 s, with a retry delay that ends after the rest
    And the targets received 1 requests

    Examples: callers are refused at once and told when the rest ends
      | kind       |
      | once       |
      | idempotent |
      | stream     |

  # Guards against requests to a target that leaves, from a gateway that control does not reach.
  Scenario Outline: a target of kind <kind> says in <answer> that it leaves, <owner> grants places, and <what>
    Given a gateway with two targets, of which the first one used says in <answer> that it leaves
    And <owner> that grants places
    When 4 requests of kind <kind> are sent, <what>, and 4 more are sent
    Then that target received 1 request in all, and each caller got its answer

    Examples: the view still lists it
      | kind       | answer        | owner    | what                                     |
      | once       | its answer    | no owner | nothing happens                          |
      | idempotent | its answer    | no owner | nothing happens                          |
      | stream     | its answer    | no owner | nothing happens                          |
      | stream     | its answer    | an owner | nothing happens                          |
      | stream     | its answer    | an owner | the groups get a new epoch               |
      | once       | its answer    | no owner | that target is not in the view for 0.1 s |
      | once       | a refusal     | no owner | nothing happens                          |
      | stream     | a refusal     | no owner | nothing happens                          |
      | once       | its answer    | no owner | the other target fails                   |
