Feature: An answer that a target repeats on a kept connection is not the answer to the next request

  # Guards against the incident MIXED, whose cause stood in the client of plain services as well.
  Scenario Outline: a service writes its answer to a <first> once more before that to a <second>
    Given a service that repeats its answers on kept connections
    When an agent calls it with <first> and then with <second>
    Then each call gets its own answer

    Examples:
      | first | second |
      | GET   | GET    |
      | POST  | GET    |
      | GET   | POST   |
      | POST  | POST   |

  Scenario: an engine writes its state once more before the next one
    Given an engine that repeats its state on kept connections
    When an agent reads its state at epoch 1 and then at epoch 2
    Then it has read epochs 1 and 2

  # Guards against a leader that ends its orders for good by an answer to an earlier one.
  Scenario Outline: an engine <answers> to an order on a kept connection
    Given an engine that <answers> to an order on a kept connection
    When two orders are sent to it
    Then the outcome of the second one is <outcome>

    Examples: an answer to an order does not name it
      | answers                                                | outcome  |
      | repeats that a newer leader has sent orders            | accepted |
      | answers truthfully that a newer leader has sent orders | fenced   |
