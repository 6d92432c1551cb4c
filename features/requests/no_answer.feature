Feature: Bytes of a target that are no answer are not taken for one, and not kept

  # Guards against a number that is no status code and is taken for that of an answer (MIXED).
  Scenario Outline: <what>, and each number is the status of the target's answer
    Given a target that answers with <right> or <wrong> as the status
    When with each of them <what>
    Then only the answers with <right> are taken for one

    Examples:
      | what                                | right   | wrong                    |
      | an agent calls the service          | 200 599 | 000 099 600 999 0200 20  |
      | an agent checks its health          | 200     | 000 099 302 600          |
      | an agent orders the engine to leave | 200     | 000 600                  |
      | an agent reads the engine's state   | 200     | 000 600                  |
      | an agent runs a completion          | 200     | 000 600                  |
      | control sends an order              | 202     | 000 099 600 999          |
      | control sends a probe               | 200     | 000 099 600 999          |
      | an operator changes the preset      | 200     | 000 099 600 999          |

  # Guards against a process that keeps all that a faulty target sends until it runs out of memory (LOST).
  Scenario Outline: <what>, and the target sends <endless> without end
    Given a target that sends <endless> without end
    When with each of them <what>
    Then none is taken for an answer, and the target could send less than 8 MiB of each

    Examples:
      | what                                | endless                                                    |
      | an agent calls the service          | a head, a body, a body in chunks, interim answers, trailers |
      | an agent checks its health          | a head, a body, a body in chunks, trailers                 |
      | an agent orders the engine to leave | a body, a body in chunks                                   |
      | an agent reads the engine's state   | a head, a body, a compressed body                          |
      | an agent runs a completion          | a head, a line of a stream, events, odd events             |
      | control sends an order              | a head                                                     |
