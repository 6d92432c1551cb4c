Feature: A request that ends the targets that run it is kept from further ones

  Scenario Outline: the same request after <deaths> targets have ended under it
    Given a gateway before two targets of which the first one asked answers
    And <deaths> targets have ended under the request of kind <kind>
    When a request of kind <kind> is sent
    Then the caller gets <answer> and the targets were asked <asked> times

    Examples:
      | deaths | kind       | answer           | asked |
      | 0      | idempotent | the whole answer | 1     |
      | 1      | idempotent | the whole answer | 1     |
      | 2      | idempotent | 503              | 0     |
      | 2      | once       | 503              | 0     |
      | 2      | stream     | 503              | 0     |

  Scenario Outline: what control makes of a connection that ended, and a target that <state>
    Given control and a target that <state> when it is probed
    When a gateway tells that the connection of request "p" to it ended
    Then the deaths that control tells of are "<deaths>"

    Examples:
      | state          | deaths |
      | answers        |        |
      | does not answer | p     |
