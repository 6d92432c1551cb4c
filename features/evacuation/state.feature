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

  Scenario: A snapshot of a release without evacuations
    # A control instance that is upgraded would otherwise forget an order in force.
    Given a snapshot with a drain of the domain n, made before evacuations were recorded
    Then the evacuations are "n by  at 0"
