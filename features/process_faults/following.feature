Feature: A process goes on following control after an unexpected error

  # Guards against a list that a process cannot handle, after which it follows nothing for good.
  Scenario Outline: there is an error when <what>
    Given a process that follows control through a lease
    When there is an error once when <what>
    Then the error is logged, and the process holds a lease within 2 s

    Examples:
      | what                           |
      | the renewal is written         |
      | a granted view is handled      |
      | the member's state is reported |

  Scenario Outline: there is an error when <what> on a stream between processes
    Given a process with a peer
    When there is an error once when <what> on the stream
    Then the process is connected to its peer again within 2 s

    Examples:
      | what                             |
      | a message is handled             |
      | the start of a stream is handled |
      | the end of a stream is handled   |

  Scenario: a peer has an address that cannot be connected to
    Given a process with a peer
    When it also has peers at 127.0.0.1:99999 and at 127.0.0.1:port
    Then these go on connecting, and the first peer is connected
