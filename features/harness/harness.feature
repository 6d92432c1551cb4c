Feature: The harness gives each process addresses of its own, and says which process did not start

  Scenario Outline: addresses of <calls> calls for <number> each
    When <calls> times <number> free addresses are asked for
    Then they are all distinct and below the kernel's ephemeral ports

    Examples:
      | calls | number |
      | 1     | 200    |
      | 400   | 1      |
      | 100   | 5      |

  Scenario: a process whose address is taken ends with a typed error and its exit code
    Given a settings file whose stream address is taken
    When the daemon is started with it
    Then it ends with exit code 4 and names the address, the setting and a hint

  Scenario: a process that ends at its start fails a wait at once, with its log
    Given a cluster in which control-1 finds its address taken
    When the harness waits for it for up to 60 s
    Then the wait fails within 10 s and shows the log of control-1
