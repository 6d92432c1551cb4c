Feature: The harness gives each process its own addresses and reports a process that does not start

  Scenario Outline: <calls> calls for <number> addresses each
    When <calls> times <number> free addresses are asked for
    Then they are all distinct and below the kernel's ephemeral ports

    Examples:
      | calls | number |
      | 1     | 200    |
      | 400   | 1      |
      | 100   | 5      |

  Scenario: a process whose address is in use exits with a typed error
    Given a settings file whose stream address is in use
    When the daemon is started with it
    Then it ends with exit code 4 and names the address, the setting and a hint

  Scenario: a wait fails early and shows the log if a process exits during its start
    Given a cluster in which the address of control-1 is in use
    When the harness waits for it for up to 60 s
    Then the wait fails within 10 s and shows the log of control-1

  # Guards against a test's gateway that lost its owner of places whenever the control instance of
  # another test ended, because both used the default address.
  Scenario: a gateway under test calls no control instance of another test
    When the gateway harness is created
    Then it knows no control instance at an address of the default settings
