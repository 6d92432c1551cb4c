Feature: An agent refuses announcements that name no target to use

  # Guards against announcements that end in an internal error, or that send work to no address.
  Scenario Outline: an announcement with <change>
    Given an agent's interface for announcements
    When an announcement with <change> is posted
    Then it is answered <status>, and <count> targets were announced

    Examples:
      | change                        | status | count |
      | nothing changed               | 204    | 1     |
      | a deeply nested unknown field | 400    | 0     |
      | bytes that are not UTF-8      | 400    | 0     |
      | a port above 65535            | 400    | 0     |
      | a host name for an address    | 400    | 0     |
      | no address                    | 400    | 0     |
