Feature: The order to evacuate a failure domain is kept in the control state

  Scenario Outline: <case>
    # The last committed order holds; one that is sent again changes neither the state nor its time.
    Given a control state that has applied the evacuation orders "<orders>"
    Then the evacuations are "<evacuations>"
    And they are the same after a snapshot

    Examples: an order is DOMAIN+OPERATOR@TIME, or DOMAIN-OPERATOR@TIME to end the evacuation
      | case                                         | orders                      | evacuations   |
      | one order                                    | n+ann@1                     | n by ann at 1 |
      | the order is sent again                      | n+ann@1 n+ann@2             | n by ann at 1 |
      | another operator orders the same             | n+ann@1 n+bob@2             | n by ann at 1 |
      | the opposite order comes last                | n+ann@1 n-bob@2             |               |
      | the opposite order comes first               | n-bob@2 n+ann@1             | n by ann at 1 |
      | the opposite order between two               | n+ann@1 n-bob@2 n+ann@3     | n by ann at 3 |
      | an order for another domain                  | n+ann@1 s+bob@2 n-ann@3     | s by bob at 2 |
      | the end of an evacuation that is not ordered | n-ann@1                     |               |

  Scenario Outline: <case>, in a control state of which its sender knew <expected> changes
    # An order that was delayed on its way would undo a later one (review/3).
    Given a control state that has applied the evacuation orders "<orders>"
    When an order "<order>" comes from a sender that knew <expected> changes
    Then it is <answer>, and the evacuations are "<evacuations>"
    And they are the same after a snapshot
    And an order "<order>" from a sender that knows all changes is accepted

    Examples:
      | case                                      | orders                  | order   | expected | answer   | evacuations   |
      | a withdrawal that knows all changes       | n+ann@1                 | n-ann@4 | 1        | accepted |               |
      | an old withdrawal after a newer order     | n+ann@1 n-ann@2 n+ann@3 | n-ann@4 | 1        | refused  | n by ann at 3 |
      | an old order after a newer withdrawal     | n+ann@1 n-ann@2         | n+ann@4 | 0        | refused  |               |
      | an order that is in force already         | n+ann@1                 | n+ann@4 | 0        | accepted | n by ann at 1 |
      | a withdrawal that is in force already     | n+ann@1 n-ann@2         | n-ann@4 | 1        | accepted |               |
      | an order beside one for another domain    | n+ann@1 s+bob@2         | n-ann@4 | 1        | refused  | n by ann at 1, s by bob at 2 |

  Scenario: A snapshot of a release without evacuations
    # A control instance that is upgraded would otherwise forget an order in force.
    Given a snapshot with a drain of the domain n, made before evacuations were recorded
    Then the evacuations are "n by  at 0"
