Feature: The next step after an attempt without a complete answer

  Outcomes: N not sent, E not sent as the permission had expired, R reported as not run, B broken,
  S stalled, F failed by the target, M answer given up for lack of memory.

  Scenario Outline: <kind>, at most <attempts> targets: <outcomes>
    Given a route of kind <kind> for at most <attempts> targets, with a retry budget: <budget>
    When the attempts end "<outcomes>"
    Then the next step is <next>

    Examples: a request that may run only once
      | kind       | attempts | budget | outcomes | next    |
      | once       | 1        | yes    | N        | again   |
      | once       | 1        | yes    | N N      | again   |
      | once       | 1        | yes    | N N N    | refused |
      | once       | 1        | yes    | R        | refused |
      | once       | 2        | yes    | R        | again   |
      | once       | 2        | no     | R        | refused |
      | once       | 2        | yes    | B        | failed  |
      | once       | 2        | yes    | R B      | failed  |
      | once       | 3        | yes    | B        | failed  |

    Examples: a request that may be repeated
      | kind       | attempts | budget | outcomes | next    |
      | idempotent | 2        | yes    | B        | again   |
      | idempotent | 2        | no     | B        | failed  |
      | idempotent | 2        | yes    | B B      | failed  |
      | idempotent | 2        | yes    | B R      | failed  |
      | idempotent | 2        | yes    | R R      | refused |
      | idempotent | 2        | yes    | F        | again   |
      | idempotent | 3        | yes    | S N      | again   |
      | resumable  | 2        | yes    | S        | again   |
      | stream     | 2        | yes    | S        | failed  |
      | stream     | 2        | yes    | R        | again   |
      | idempotent | 2        | yes    | M        | failed  |
      | resumable  | 3        | yes    | S M      | failed  |

    # Guards against pauses of the gateway that count as dead targets and end the request.
    Examples: a permission to send that expires
      | kind       | attempts | budget | outcomes  | next    |
      | once       | 1        | no     | E E E E   | again   |
      | stream     | 2        | no     | N N E     | again   |
      | stream     | 2        | no     | N E E N   | again   |
      | stream     | 2        | no     | N E N E N | refused |
      | once       | 2        | no     | E R       | refused |
      | idempotent | 2        | yes    | B E       | again   |
