Feature: Timeline events are logged if the settings ask for it

  Scenario Outline: a process with log.events <setting>
    Given a settings file with roles = ["entry"]; [log]; events = <setting>
    When a process with these settings records an event
    Then its log holds <lines> lines of that event

    Examples:
      | setting | lines |
      | true    | 1     |
      | false   | 0     |
