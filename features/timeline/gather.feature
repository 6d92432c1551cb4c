Feature: The time line gathers the events of all processes

  Scenario: a request and a killed process are seen in each form
    Given a running deployment with 1 serving groups
    Then a streamed completion through entry 1 is whole
    When the instance "engine-1-3" is killed and its lease has lapsed
    Then the time line as text shows the request's events in the order "request.routed attempt.started request.answered"
    And the time line as text says that "engine-1-3" could not be reached
    And the time line of the request as JSON lines holds only that request's events
    And the time line as a picture has a lane for each process and one marked unreachable
    And a time line since "yesterday" is refused
    And the time line of the node "entry-1" holds only events of "entry-1"
