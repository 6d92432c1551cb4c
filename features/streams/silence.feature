Feature: A connection that goes silent without closing is replaced

  Bytes on it vanish, while a new connection works: only the absence of an answer shows it.

  Scenario Outline: calls of <interval> s after the connection has gone silent
    Given two processes connected through a proxy
    When the present connection goes silent and a call with a timeout of <timeout> s is made each <interval> s
    Then a call is answered within <limit> s

    Examples:
      | timeout | interval | limit |
      | 0.3     | 0.1      | 2     |
      | 1.0     | 0.5      | 4     |

  Scenario Outline: the other end closes the first <number> connections as soon as they are made
    Given a process whose other end closes the first <number> connections at once
    When it calls again and again
    Then a call is answered within 5 s

    Examples:
      | number |
      | 1      |
      | 5      |

  Scenario: socket options of a connection that has ended are no failure
    When the silence of connections that have ended is to be detected
    Then nothing fails
