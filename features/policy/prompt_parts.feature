Feature: Parts of prompts that end their targets are told from sound ones

  Each death lists the requests in flight there, with the shared parts of their prompts. The part p
  is fatal, all others are sound. Between two items 0.4 s pass, and 1 s after the last one unless it
  is "at once".

  Scenario Outline: <what>
    Given the deaths and answers "<history>"
    Then the quarantined parts are "<quarantined>"

    Examples: one fatal part
      | what                                               | history                                                       | quarantined |
      | two deaths are not enough                          | t1 a=p b=p; t2 c=p d=p                                        |             |
      | three deaths with three requests                   | t1 a=p; t2 b=p; t3 c=p                                        | p           |
      | gateways have had no time to report an answer      | t1 a=p; t2 b=p; t3 c=p; at once                               |             |
      | one request in three deaths                        | t1 a=p; t2 a=p; t3 a=p                                        |             |
      | a death reported twice counts once                 | t1 a=p; t1 b=p; t1 c=p                                        |             |
      | a request is reported after the death              | t1 a=p; t2 b=p; t3 c=q; late t3 d=p                           | p           |
      | a connection that ended without a death            | t1 a=p; t2 b=p; alive t3 c=p                                  |             |
      | the same target dies again later                   | t1 a=p; 5 s; t1 b=p; 5 s; t1 c=p                              | p           |
      | deaths over a minute ago do not count              | t1 a=p; t2 b=p; 61 s; t3 c=p                                  |             |

    Examples: sound parts beside it
      | what                                               | history                                                       | quarantined |
      | the sound part is in fewer deaths                  | t1 a=p.s b=s; t2 c=p.s d=s; t3 e=p                            | p           |
      | the sound part is in as many deaths                | t1 a=p.s b=s; t2 c=p.s d=s; t3 e=p.s                          |             |
      | and in more requests, after five deaths            | t1 a=p.s b=s; t2 c=p.s; t3 e=p.s; t4 f=p.s; t5 g=p.s          | p           |
      | the sound part is in one request fewer             | t1 a=p; t2 b=s a=p c=s; t3 c=s a=p d=s b=s; t4 e=p             |             |
      | parts that cannot be told apart wait               | t1 a=p.s; t2 b=p.s; t3 c=p.s; t4 d=p.s                        |             |
      | after five deaths the one deeper in the prompt     | t1 a=s.p; t2 b=s.p; t3 c=s.p; t4 d=s.p; t5 e=s.p              | p           |
      | and the other one if targets still die             | t1 a=p.s; t2 b=p.s; t3 c=p.s; t4 d=p.s; t5 e=p.s; t6 f=p; t7 g=p; t8 h=p | p s |
      | an answer to the sound part tells them apart       | t1 a=p.s; t2 b=p.s; t3 c=p.s; answered s; t4 d=p.s            | p           |
      | an answer ends a quarantine                        | t1 a=s; t2 b=s; t3 c=s; 1 s; answered s                       |             |
      | requests sent again together to the next target    | t1 a=p b=s c=q; t2 a=p b=s c=q d=p; t3 d=p e=p                | p           |

    Examples: two fatal parts
      | what                                               | history                                                       | quarantined |
      | one after the other                                | t1 a=p; t2 b=p; t3 c=p; t4 d=q; t5 e=q; t6 f=q                | p q         |
      | at the same targets                                | t1 a=p b=p c=q; t2 d=p e=q; t3 f=p g=p h=q; t4 i=p; t5 j=q; t6 k=q; t7 l=q | p q |

    Examples: quarantines end, and are kept by the next leader
      | what                                               | history                                                       | quarantined |
      | after the time of the policy                       | t1 a=p; t2 b=p; t3 c=p; 1 s; 601 s                            |             |
      | not before it                                      | t1 a=p; t2 b=p; t3 c=p; 1 s; 590 s                            | p           |
      | a new leader                                       | t1 a=p; t2 b=p; t3 c=p; 1 s; new leader                       | p           |

  Scenario Outline: random histories with <rate> fatal requests a second among 15 sound ones
    When <histories> histories of 60 s run from seed 1 with <rate> fatal requests a second
    Then the fatal part ended at most 8 targets in each, and was quarantined if there were 5
    And a sound part was quarantined for over a second in at most <wrong> of them

    Examples: nammibar's groups and gateways, and losses of groups that no request causes
      | histories | rate | wrong |
      | 40        | 0    | 2     |
      | 40        | 0.5  | 2     |
      | 40        | 6    | 2     |

  Scenario Outline: a gateway that has received <answers> reports, of a prompt with a and b
    Given a gateway that started <age> s ago and has answers to prompts with "<answers>"
    Then <later> s later it reports "<unproven>" of an interrupted request with "a b"
    And it reports an answer to "<proven>" of the suspected parts "a b"

    Examples:
      | answers | age | later | unproven | proven |
      |         | 60  | 0     | a b      |        |
      | a       | 60  | 0     | b        | a      |
      | a b     | 60  | 30    |          | a b    |
      | a       | 60  | 61    | a b      |        |

    Examples: a gateway that has just started has had no time for answers
      | answers | age | later | unproven | proven |
      | a       | 0   | 4     |          | a      |
      | a       | 0   | 6     | b        | a      |
