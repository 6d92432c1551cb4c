Feature: A target that falls silent and goes on ends no answer sooner

  # Guards against the incident LOST, in which begun streams were cut at targets that were silent.
  Scenario Outline: the target of a stream is silent for <time> s after some events, and <what>
    Given <what> when a target is silent
    And a gateway with two targets, of which the first one used pauses for <time> s after some events
    But both are granted as heads of groups only
    When a request of kind stream is sent, and the disturbance comes
    Then the caller gets every event once and the targets received <asked> requests

    Examples: a silence of a second or so is not left
      | time | what                                | asked |
      | 1.2  | nothing else happens                | 1     |
      | 1.2  | the retry budget is used up         | 1     |
      | 1.2  | the other target is full            | 1     |
      | 1.2  | the other target leaves the view    | 1     |
      | 1.2  | the document changes                | 1     |

    Examples: a longer one only for a target that takes the stream over
      | time | what                                | asked |
      | 1.9  | nothing else happens                | 2     |
      | 3    | nothing else happens                | 2     |
      | 3    | an error ends the first search      | 2     |
      | 3    | the retry budget is used up         | 1     |
      | 3    | the other target is full            | 1     |
      | 3    | the other target leaves the view    | 1     |

    Examples: a target that control takes for lost is left only for another one
      | time | what                                | asked |
      | 3    | both targets leave the view         | 1     |
      | 3    | the silent target leaves the view   | 2     |

  # Guards against the repair of a group whose head goes on after control has taken it for lost.
  Scenario: control hears at once of a target that goes on after it has left the view
    Given both targets leave the view when a target is silent
    And a gateway with two targets, of which the first one used pauses for 1.2 s after some events
    But both are granted as heads of groups only
    When a request of kind stream is sent, and the disturbance comes
    Then the gateway has 1 groups whose progress it reports
    And the gateway has renewed its lease 1 time beside the usual renewals

  Scenario Outline: a stream whose target ends waits for a place, and <what>
    Given a gateway with two targets, of which the first one used ends its connection after some events
    And the owner of the places reports all as full from the second request on, until <until> s later
    When a request of kind stream is sent
    Then the caller gets <answer> and the targets received <asked> requests

    Examples: it waits up to 1.5 s
      | what                            | until | answer               | asked |
      | a place becomes free            | 0.8   | every event once     | 2     |
      | none becomes free within 1.5 s  | 5     | an incomplete stream | 1     |

  # Guards against a request that is told of the first loss of its target only.
  Scenario: a target that control takes for lost twice is left soon after the second time
    Given a gateway with two targets, of which the first one used sends an event after 0.7 s of silence, and then none
    But both are granted as heads of groups only
    When a request of kind stream is sent, and its target leaves the view twice
    Then the caller gets every event once and the targets received 2 requests
    And the answer was complete within 0.8 s of the second loss
