Feature: The leader notifies exactly the nodes that a change affects

  Scenario Outline: after <change>, <told> are notified
    Given a leader with an entry, the agents a-1 to a-4 in one failure domain, and a configuration
    And all of them hold leases and have been notified of all changes
    When <change>
    Then exactly <told> are notified to renew

    Examples:
      | change                             | told                        |
      | nothing changes                    | none                        |
      | the instances a-1 and a-2 form a group | a-1 a-2 entry           |
      | the configuration changes          | a-1 a-2 a-3 a-4 entry       |
      | a drain of a-4 begins              | a-1 a-2 a-3 a-4 entry       |
      | the preset is prepared             | a-1 a-2 a-3 a-4 entry       |

  Scenario: only entries receive a view
    Given a leader with an entry, the agents a-1 to a-4 in one failure domain, and a configuration
    And all of them hold leases and have been notified of all changes
    When the instances a-1 and a-2 form a group
    Then the grant of "entry" has a view and that of "a-1" has none
