Feature: Those that read slowly cost a bounded amount of memory and delay nobody

  Nothing bounded what a gateway process held for callers that did not read their answers, for
  targets that did not read their requests, and for bodies under way. A process beyond its memory
  limit is ended with all its requests.

  # Guards against a choice that drops those that read, or that frees too little or too much.
  Scenario Outline: <what> is dropped
    Given connections that hold "<readers>", as name:unread KiB:seconds since the last read
    When <excess> KiB must become free
    Then those dropped are "<dropped>"

    Examples:
      | what                                       | readers                 | excess | dropped |
      | nobody when nothing must become free       | a:100:9 b:100:9         | 0      |         |
      | the one that has not read for longest      | a:100:1 b:100:9         | 50     | b       |
      | the one that holds most                    | a:100:2 b:900:2         | 50     | b       |
      | the largest product of both                | a:900:1 b:100:8 c:50:12 | 50     | a       |
      | as many as needed                          | a:100:1 b:100:9 c:80:5  | 150    | b c     |
      | nobody that has read just now              | a:900:0.1 b:100:1       | 900    | b       |
      | nobody that has nothing to read            | a:0:90 b:100:1          | 900    | b       |

  Scenario Outline: a process with a limit of <limit> MiB holds at most <bound> MiB for others
    Then a process with a limit of <limit> MiB holds at most <bound> MiB for others

    Examples:
      | limit | bound |
      | 0     | 0     |
      | 64    | 16    |
      | 152   | 28    |
      | 360   | 132   |

  # Guards against a caller that pauses for a moment and loses its stream, or a target that is taken
  # for silent because the gateway does not read from it.
  Scenario Outline: a caller reads nothing for <pause> s in the middle of a stream of <size> MiB
    Given a gateway whose target streams <size> MiB as fast as it is read
    When a caller reads nothing for <pause> s and then the rest
    Then it has the complete stream, and the gateway held at most 1 MiB unsent
    And no target was suspected, and none was abandoned

    Examples:
      | pause | size |
      | 0.5   | 12   |
      | 1.5   | 12   |

  # Guards against targets that wait, until they cut the answer off, for callers that never read.
  Scenario Outline: a caller of HTTP/<version> never reads a stream
    Given a gateway whose target streams 64 MiB as fast as it is read
    When a caller of HTTP/<version> reads nothing of a stream for 4 s
    Then its connection has been reset, and the target's connection closed
    And 1 unsent_answer is counted as dropped for behind, and nothing is held

    Examples: without chunks a regular end would look like the end of the answer
      | version |
      | 1.1     |
      | 1.0     |

  # Guards against a reset of a caller that reads all the time, but slower than a step of the
  # kernel's buffer in 2 s.
  Scenario: a caller reads a stream slowly but steadily
    Given a gateway whose target streams 64 MiB as fast as it is read
    When a caller reads 64 KiB of a stream per second for 9 s, in parts of 8 KiB
    Then it is still connected, and no reader was dropped

  # Guards against a target that waits for a slow caller until it cuts the answer off.
  Scenario Outline: a caller that is behind for <behind> s and read <read> s ago is <decision>
    Then a caller that is behind for <behind> s and read <read> s ago is <decision>

    Examples:
      | behind | read | decision |
      | 1.9    | 9    | kept     |
      | 2.0    | 2.0  | dropped  |
      | 2.1    | 9    | dropped  |
      | 3.9    | 1.9  | kept     |
      | 3.9    | 2.1  | dropped  |
      | 4.1    | 0.1  | dropped  |

  # Guards against one sum of work or memory that makes those wait that read. The others keep their
  # targets waiting for 2 s.
  Scenario: a caller that reads is not delayed by 40 that do not
    Given a gateway whose target streams 64 MiB as fast as it is read
    When 40 callers read nothing, and another one reads 8 MiB of its stream meanwhile
    Then the longest gap between two parts that it gets is under 1.5 s

  # Guards against an error in the handling of a request that ends while its target waits.
  Scenario Outline: callers that do not read <leave>
    Given a gateway whose target streams 64 MiB as fast as it is read
    When 5 callers read nothing and <leave>
    Then nothing is held, and nothing was logged as an error

    Examples:
      | leave                   |
      | close their connections |
      | reach their time limit  |

  # Guards against whole answers that nobody reads and that are kept without a bound.
  Scenario: whole answers that are not read are dropped, and one that is read is delivered
    Given a gateway with a memory limit of 64 MiB whose target answers with 3 MiB
    When 20 callers request such answers one after another and read nothing
    Then the gateway held at most 20 MiB in all
    And callers were dropped for memory, each with an answer that is visibly incomplete
    And another caller gets a complete answer

  # Guards against an empty answer with the target's status after its only chunk was given up.
  Scenario Outline: an answer of <size> KiB that gets no room is not delivered empty or cut
    Given a gateway with a memory limit of 64 MiB whose target leaves no room for its answer of <size> KiB
    When a request of the kind once is sent to it and waits for room
    Then it is answered with 502, and the target's connection is not used again

    Examples:
      | size |
      | 1    |
      | 60   |
      | 200  |

  # Guards against a request that has run and runs again when memory is short.
  Scenario Outline: a request of the kind <kind> whose answer of <size> KiB gets no room runs once
    Given a gateway with a memory limit of 64 MiB whose targets leave no room for its answer of <size> KiB
    And a second target that would answer the same request
    When a request of the kind <kind> is sent to it and waits for room
    Then it is answered with 502, and no target ran it again

    Examples:
      | kind       | size |
      | idempotent | 1    |
      | idempotent | 200  |

  # Guards against bodies under way that use up the memory, and refusals after the request was sent.
  Scenario: bodies for which there is no memory are refused before they are sent anywhere
    Given a gateway with a memory limit of 64 MiB whose target answers with 1 MiB
    When 10 callers send a body of 3 MiB each at the same time, without its last byte until all others have arrived
    Then some are answered with 200, the others with 503, and the target ran those of 200 only
    And the gateway held at most 20 MiB in all

  # Guards against a body that is held for good, because the end of its connection is reported to
  # nobody once its last part has been taken.
  Scenario: a caller's connection closes between the last part of its body and the handling
    Given a gateway with a memory limit of 64 MiB whose target answers with 1 MiB
    When 3 callers' connections close right after the last part of a body of 100 KiB
    Then no body is held, and no target got a request

  # Guards against a body that is lost or reordered when it is written in pieces.
  Scenario Outline: a body of <size> KiB for a target that <reads>
    Given a gateway whose target <reads>
    When a request with a body of <size> KiB is sent to it
    Then the caller gets the target's answer, and the unsent part was at most 300 KiB

    Examples:
      | size | reads                              |
      | 100  | reads the body slowly              |
      | 3000 | reads the body slowly              |
      | 3000 | answers before it reads the body   |

  # Guards against the end of the process: 200 connections at once on each side.
  Scenario: the memory of a process stays flat with 200 connections that do not read on each side
    Given a gateway process with a memory limit of 152 MiB
    When 200 callers do not read 3 MiB each, and 200 requests of 1 MiB go to a target that does not read
    Then its resident memory stays below 152 MiB

  # Guards against a sum that grows with each answer that is not delivered, until all is refused.
  Scenario Outline: a target <fails> each request, and nothing is held in the end
    Given a gateway whose target <fails> each request
    When 3 requests of each kind are sent to it, with bodies of 100 KiB
    Then nothing is held

    Examples:
      | fails                                     |
      | turns away, with an answer of 100 KiB,    |
      | fails, with an answer of 100 KiB,         |
      | breaks off, after 100 KiB of its answer,  |
      | does not answer                           |
