Feature: A request trace is built from the logs of all processes

  Scenario Outline: a request that was <what>
    When jaylatch explains request <request> from "examples/logs"
    Then it exits with 0 and prints "<cause>"
    And it also prints "<belief>"

    Examples: recorded lines of real runs with faults
      | what                                 | request          | cause                                                                        | belief                        |
      | refused under load                   | 57b04f74318c8f78 | every group was full: the least loaded of 2 had 1.12 requests per slot       | view 8589934605: groups       |
      | interrupted while its group was lost | 0522b76f18f1d156 | its stream was interrupted, and it could not be resumed elsewhere: no target | committed: RepairGroup        |
      | answered late                        | c87313dd5f5b0c09 | i-53be7468d6 was lost while serving it; then answered by i-107aa18f87        | i-53be7468d6 was probed: lost |

  Scenario Outline: <case>
    When jaylatch explains request <request> from "<place>"
    Then it exits with <code> and prints "<text>"

    Examples: a request that cannot be explained
      | case                       | request          | place         | code | text                  |
      | an id that no line names   | unknown          | examples/logs | 1    | no line names request |
      | a path that does not exist | 57b04f74318c8f78 | examples/none | 2    | cannot read           |
      | lines that are not records | 57b04f74318c8f78 | README.md     | 1    | no line names request |

  Scenario Outline: <lines> about request r: <conclusion>
    Given log lines of request r: "<lines>"
    Then its trace concludes "<conclusion>"

    Examples: P placed at t, B broken at t, L t lost, R a refusal, K one by rank, E an end
      | lines                   | conclusion                                                               |
      | P E:answered            | answered by t in 5 ms, first output after 2 ms                           |
      | P B P E:answered        | answered by t after a failed attempt at t: broken                        |
      | P B L P E:answered      | t was lost while serving it; then answered by t                          |
      | P L B E:stream_cut:full | t was lost while serving it, and it could not be resumed elsewhere: full |
      | R:no target             | no target that could run it was in the view                              |
      | R:no valid lease        | refused by jaylatch: no valid lease                                      |
      | R:resting               | each of 0 targets had asked this gateway for rest                        |
      | R:at limit              | each of 0 targets had reached the limit that it states                   |
      | K:overloaded            | no place could become free in time for it: rank 2, 1.04 requests per slot at the least loaded of 3 groups |
      | K:account_over_share    | its account asked for more than its share of the places: rank 2, 1.04 requests per slot at the least loaded of 3 groups |
      | K:deadline_too_near     | it waited until it could no longer be in time: rank 2, 1.04 requests per slot at the least loaded of 3 groups |
      | P E:caller_gone         | ended without an answer: caller_gone                                     |
      | P                       | the end of the request is not in these logs                              |

  Scenario: a summary of the logs
    When jaylatch summarises the logs of "examples/logs"
    Then it exits with 0 and prints "not_run: full (r-kg54x8f)"
    And it also prints "stalled at i-53be7468d6"

  Scenario: a summary names the models that were refused and the supply of their groups
    Given a refusal for model f, after supply lines "f 3/0 f 3/1 f 3/1 v 3/0"
    Then the summary counts 1 refusal for f, and "f: 2 of 3 groups complete" 2 times
