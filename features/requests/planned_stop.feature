Feature: A planned stop of an entry or an agent cuts no request

  # Guards against requests that are cut without an answer because their process ends at SIGTERM, and
  # against requests that are taken late in the grace period and then cut.
  Scenario Outline: <process> gets SIGTERM while <kind> of <work> s run and others follow on kept connections
    Given a deployment whose orders take <work> s, with a grace period of <grace> s
    When <process> gets SIGTERM while <kind> run and others follow on kept connections
    Then each of those that ran before was <outcome>
    And each of those that followed was answered, or refused and never run
    And no order ran twice, and the process ended by itself within <grace> s

    Examples: an agent's answers reach their callers through the entry that goes on
      | process          | kind         | work | grace | outcome                           |
      | an entry         | keyed orders | 2    | 6     | answered                          |
      | an entry         | other orders | 2    | 6     | answered                          |
      | an entry         | streams      | 2    | 6     | answered                          |
      | a service's agent | keyed orders | 2   | 6     | answered                          |
      | a service's agent | other orders | 2   | 6     | answered                          |

    Examples: what takes longer than the grace period gets an answer that does not say that it was not run
      | process  | kind         | work | grace | outcome           |
      | an entry | other orders | 8    | 4     | refused as unsure |
