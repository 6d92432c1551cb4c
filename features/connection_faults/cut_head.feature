Feature: An answer whose connection ends within its head is no answer

  # Guards against a 200 with an empty body, framed as whole, for a target that stopped while it wrote
  # the head of its answer: libcurl reports no error then.
  Scenario Outline: a target ends each connection after another byte of its answer, and <what>
    Given a target that ends its connections after each byte of <answer> in turn
    When with each of them <what>
    Then only the complete answer is taken for one

    Examples:
      | what                               | answer                         |
      | an agent calls the service         | a body with a length           |
      | an agent calls the service         | a body in chunks               |
      | an agent calls the service         | a body after an interim answer |
      | an agent calls the service         | no content                     |
      | an agent checks its health         | a body with a length           |
      | an agent orders the engine to leave | a body with a length           |
      | an operator changes the preset     | a body with a length           |
