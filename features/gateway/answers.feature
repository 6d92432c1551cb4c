Feature: Each request that a gateway has read is answered, or its connection is closed

  # Guards against the incident LOST, in which whole requests got neither an answer nor a refusal.
  Scenario Outline: an error <where> ends the handling of a request
    Given a gateway with a target that answers
    When a request is sent, and there is an error <where>
    Then its caller gets <answer> within 1 s, and the target ran <runs> requests
    And the error is logged

    Examples: errors outside of the part that sends requests
      | where                                   | answer                                | runs |
      | when the dialect reads the request      | 503                                   | 0    |
      | when the request is admitted            | 503                                   | 0    |
      | when the dialect writes a refusal       | a closed connection without an answer | 0    |

  Scenario: an error after the complete answer has been sent does not close the connection
    Given a gateway with a target that answers
    When two requests are sent on one connection, and there is an error after each complete answer
    Then the callers got the statuses 200 and 200

  Scenario: a HEAD request is refused without a body, and its connection stays in use
    Given a gateway with a target that answers
    When HEAD of a path without a route is sent, and then a request on the same connection
    Then the callers got the statuses 404 and 200

  # Guards against the limits of a deployment, which the gateway did not apply, or applied to a kept
  # connection only after one more request, whose connection was closed without an answer.
  Scenario Outline: <connection> under a deployment that sets <limits> carries <request>
    Given a gateway with a target that answers
    When a deployment sets <limits>, and <connection> carries <request>
    Then its caller gets <answer> within 1 s, and the target ran <runs> requests

    Examples: raised limits
      | connection        | limits                 | request          | answer | runs |
      | a new connection  | a body limit of 8 MiB  | 6 MiB            | 200    | 1    |
      | a kept connection | a body limit of 8 MiB  | 6 MiB            | 200    | 1    |
      | a new connection  | a head limit of 64 KiB | a head of 40 KiB | 200    | 1    |
      | a kept connection | a head limit of 64 KiB | a head of 40 KiB | 200    | 1    |
      | a kept connection | a head limit of 1 MiB  | a head of 40 KiB | 200    | 1    |

    Examples: lowered limits
      | connection        | limits                | request         | answer | runs |
      | a new connection  | a body limit of 1 MiB | 2 MiB in chunks | 413    | 0    |
      | a kept connection | a body limit of 1 MiB | 2 MiB in chunks | 413    | 0    |
      | a new connection  | a body limit of 1 MiB | 2 MiB           | 413    | 0    |
      | a kept connection | a body limit of 1 MiB | 2 MiB           | 413    | 0    |
      | a kept connection | a body limit of 1 MiB | 6 MiB           | 413    | 0    |
      | a kept connection | a body limit of 1 MiB | 2 MiB of which it asks whether to send it | 413 | 0 |
      | a new connection  | a head limit of 4 KiB | a head of 8 KiB  | 431    | 0    |
      | a kept connection | a head limit of 4 KiB | a head of 8 KiB  | 431    | 0    |
      | a kept connection | a head limit of 4 KiB | a head of 40 KiB | 431    | 0    |
      | a kept connection | a head limit of 4 KiB | a head without an end | 431 | 0    |

    Examples: limits that are raised and put back
      | connection        | limits                                         | request          | answer | runs |
      | a kept connection | a head limit of 64 KiB, and then 16 KiB again  | a head of 40 KiB | 431    | 0    |
      | a kept connection | a head limit of 4 KiB, and then 16 KiB again   | a head of 8 KiB  | 200    | 1    |
      | a kept connection | a body limit of 1 MiB, and then 4 MiB again    | 2 MiB            | 200    | 1    |

  Scenario Outline: <connection> under a header timeout of <timeout> s carries a head in two parts, <pause> s apart
    Given a gateway with a target that answers
    When a deployment sets a header timeout of <timeout> s, and <connection> carries a head in two parts, <pause> s apart
    Then its caller gets <answer>, and the target ran <runs> requests

    Examples: the time counts from the first byte of the head
      | connection        | timeout | pause | answer | runs |
      | a new connection  | 0.5     | 1     | 408    | 0    |
      | a kept connection | 0.5     | 1     | 408    | 0    |
      | a kept connection | 0.5     | 0.2   | 200    | 1    |
      | a kept connection | 6       | 3.5   | 200    | 1    |

  Scenario: a caller that is still sending reads the refusal of its body
    Given a gateway with a target that answers
    When a deployment sets a body limit of 1 MiB, and a caller sends 6 MiB slowly before it reads
    Then its caller gets 413 within 1 s, and the target ran 0 requests

  Scenario Outline: <connection> is <under> an idle timeout of <timeout> s, and 3 s later it <state>
    Given a gateway with a margin of 0.5 s after the idle timeout
    When <connection> is <under> an idle timeout of <timeout> s
    Then 3 s later it <state>

    Examples: an idle timeout applies to kept connections, and never to a request under way
      | connection                           | under                         | timeout | state                       |
      | a kept connection                    | opened under                  | 0.5     | has been closed             |
      | a kept connection                    | idle when it gets             | 0.5     | has been closed             |
      | a kept connection                    | opened under                  | 15      | carries another request     |
      | a kept connection                    | idle under 0.5 s when it gets | 15      | carries another request     |
      | a connection with a request of 2.8 s | opened under                  | 0.5     | has got the complete answer |

  # Guards against requests that were handled although the gateway had closed their connections.
  Scenario Outline: <what> <turns> turns of the loop after a request was sent
    Given a server of a gateway with a kept connection
    When a request is sent on it, and <turns> turns later <what>
    Then the request was <result>

    Examples: the request is read and passed on in several turns
      | what                            | turns | result                       |
      | the idle connections are closed | 0     | neither handled nor answered |
      | the idle connections are closed | 1     | neither handled nor answered |
      | the idle connections are closed | 2     | handled and answered         |
      | the idle connections are closed | 3     | handled and answered         |
      | the idle connections are closed | 4     | handled and answered         |
      | the idle connections are closed | 5     | handled and answered         |
      | the idle connections are closed | 6     | handled and answered         |
      | the idle time is over           | 0     | neither handled nor answered |
      | the idle time is over           | 1     | neither handled nor answered |
      | the idle time is over           | 2     | handled and answered         |
      | the idle time is over           | 3     | handled and answered         |
      | the idle time is over           | 4     | handled and answered         |

  # Guards against requests that go on at targets although their callers have gone.
  Scenario: a request whose caller resets its connection at once is not handled to its end
    Given a server of a gateway with a kept connection
    When a request that takes 0.5 s is sent on it, and the connection is reset at once
    Then its handling has not begun, or it was cancelled

  # Guards against a leak of the state of connections that callers close while they are idle.
  Scenario: connections that callers have closed take no memory
    Given a server of a gateway with a kept connection
    When 50 callers connect, send a request each and disconnect
    Then the server holds the state of 1 connection

  Scenario Outline: requests are pipelined on one connection, and the first one is <first>
    Given a gateway with a target that answers
    When two requests are sent at once on one connection, the first one <first>
    Then the callers got the statuses <statuses>

    Examples: the second one waits until the first one is answered
      | first                            | statuses    |
      | of kind once                     | 200 and 200 |
      | of kind stream                   | 200 and 200 |
      | of kind once and without a route | 404 and 200 |

  Scenario Outline: a <kind> request is under way while a deployment <change>
    Given a gateway with a target that works for 1 s
    When a <kind> request is sent, and 0.5 s later a deployment <change>
    Then its caller gets the complete answer

    Examples: what has been admitted goes on
      | kind   | change                                  |
      | once   | removes its route                       |
      | once   | moves its route to another service      |
      | once   | removes its service                     |
      | once   | sets a timeout of 0.2 s for its route   |
      | once   | revokes its key                         |
      | once   | sets lower limits of connections        |
      | stream | removes its route                       |
      | stream | removes its service, whose head goes on |
      | stream | sets a timeout of 0.2 s for its route   |
      | stream | sets lower limits of connections        |

  # Guards against requests that are cut without an answer at the end of the grace period.
  Scenario Outline: the grace period ends while a target works on a <kind> request
    Given a gateway with a target that works for 6 s, and a grace period of 1 s
    When a <kind> request is sent, and the gateway drains
    Then its caller gets 502 within 1 s, and the target ran 1 requests

    Examples: nothing of the answer has been sent
      | kind   |
      | once   |
      | stream |
