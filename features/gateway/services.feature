Feature: The service of the route decides which target runs a request

  The service "engines" runs the model "model"; "plain" and "other" run none. Each has two targets. A
  share is SERVICE=WEIGHT.

  # Guards against requests that were refused for good because they state a model on a route to a
  # service without an engine: their target was looked for among the heads of groups.
  Scenario Outline: <count> requests of kind <kind> that state <model> on a route to "<shares>"
    Given a gateway with targets of the services engines, plain and other
    When <count> requests that state <model> are sent on a route of kind <kind> to "<shares>"
    Then all are answered by "<services>", each service at least once

    Examples: a route to one service
      | kind       | model    | shares    | count | services |
      | stream     | a model  | engines=1 | 2     | engines  |
      | stream     | a model  | plain=1   | 2     | plain    |
      | stream     | no model | plain=1   | 2     | plain    |
      | once       | a model  | plain=1   | 2     | plain    |
      | idempotent | a model  | plain=1   | 2     | plain    |
      | idempotent | a model  | engines=1 | 2     | engines  |

    Examples: a split
      | kind       | model    | shares               | count | services      |
      | stream     | a model  | engines=1 plain=1    | 40    | engines plain |
      | stream     | a model  | engines=9 plain=1    | 100   | engines plain |
      | stream     | a model  | engines=0 plain=1    | 10    | plain         |
      | stream     | no model | plain=1 other=1      | 40    | plain other   |
      | once       | a model  | engines=1 plain=1    | 40    | engines plain |

    Examples: a stream that its caller resumes
      | kind       | model                        | shares            | count | services      |
      | stream     | a model and an event         | plain=1           | 2     | plain         |
      | stream     | a model and an event         | engines=1 plain=1 | 40    | engines plain |

  Scenario Outline: <model> on a route to "<shares>" is refused at once as not run
    Given a gateway with targets of the services engines, plain and other
    When 1 requests that state <model> are sent on a route of kind stream to "<shares>"
    Then all are refused within 0.5 s as not run

    Examples: no target of the service runs it
      | model         | shares    |
      | no model      | engines=1 |
      | another model | engines=1 |

  # Guards against pieces of one stream that come from targets of two services.
  Scenario Outline: streams on a route to "<shares>" break off at their first target
    Given a gateway with targets of the services engines, plain and other
    And each target breaks off a stream that it gets from its beginning
    When 20 requests that state a model are sent on a route of kind stream to "<shares>"
    Then all are answered whole, and each of them by targets of one service

    Examples:
      | shares                    |
      | plain=1                   |
      | engines=1 plain=1         |
      | engines=1 plain=1 other=1 |

  Scenario Outline: a route of streams that leads to <before> is <change>
    Given a gateway with targets of the services engines, plain and other
    When requests are sent on a route of streams to <before>, and then it is <change>
    Then the requests after the change are answered by <after>, and those after the change back by <before>

    Examples: a route moves, its service changes, and both are put back
      | before  | change                          | after   |
      | engines | moved to plain                  | plain   |
      | plain   | moved to engines                | engines |
      | plain   | moved to other                  | other   |
      | engines | kept while its service is plain | engines |
