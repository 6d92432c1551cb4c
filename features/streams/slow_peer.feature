Feature: A slow peer gets what was sent behind a call

  A call that times out after 50 ms used to close the connection if no byte had arrived. The notice
  that gives the place back was then lost, and the slow owner, which read the request later, counted
  the place until the deadline of its request.

  Scenario Outline: the owner of places is slow for <pause> s after a call with a time-out of <timeout> s
    Given an owner of places and a gateway process connected through a proxy
    When nothing is forwarded for <pause> s and a place is requested for <timeout> s and then given back
    Then the owner holds no place within <limit> s

    Examples: the connection stays open
      | pause | timeout | limit |
      | 0.1   | 0.05    | 1     |
      | 0.5   | 0.05    | 1     |
      | 0.8   | 0.3     | 1     |

    Examples: the gateway process closes the connection and sends the notice on the next one
      | pause | timeout | limit |
      | 1.5   | 0.05    | 1     |
      | 3.0   | 0.05    | 1     |

  # A place that was given back while the connection was down used to be counted until its deadline.
  Scenario: a place is given back while its owner is not connected
    Given an owner of places and a gateway process connected through a proxy
    When a place is taken and given back while the proxy refuses connections for 0.5 s
    Then the owner holds no place within 1 s

  # The owner may read the notice, which came on a new connection, before the request on the old one.
  Scenario: a request for a place that was given back before is not counted
    Given an owner of places and a gateway process connected through a proxy
    When the notice that gives a place back arrives before the request
    Then the owner holds no place within 1 s

  # A connection with a peer that answers something is not dead, however long another call takes.
  Scenario: a connection on which other calls are answered stays open
    Given an owner of places and a gateway process connected through a proxy
    When a call that is never answered is made and others are answered for 1.5 s
    Then the connection is the same

  # After a pause of this process the time is over before it has read what arrived meanwhile.
  Scenario: a connection stays open when the process itself was paused
    Given an owner of places and a gateway process connected through a proxy
    When the process is busy for 1.5 s just after it has sent a call
    Then the connection is the same
