Feature: An unresponsive connection that does not close is replaced

  Bytes on it are dropped while a new connection works: only missing answers reveal the fault.

  Scenario Outline: calls of <interval> s after the connection has become unresponsive
    Given two processes connected through a proxy
    When the current connection becomes unresponsive and a call with a timeout of <timeout> s is made each <interval> s
    Then a call is answered within <limit> s

    Examples:
      | timeout | interval | limit |
      | 0.3     | 0.1      | 2     |
      | 1.0     | 0.5      | 4     |

  Scenario Outline: the peer closes the first <number> connections as soon as they are made
    Given a process whose peer closes the first <number> connections at once
    When it calls repeatedly
    Then a call is answered within 5 s

    Examples:
      | number |
      | 1      |
      | 5      |

  Scenario: setting socket options of a connection that has ended does not fail
    When dead-peer detection is set on connections that have ended
    Then nothing fails
