Feature: The timeline gathers the events of all processes

  Scenario: a request and a killed process appear in each output format
    Given a running deployment with 1 serving groups
    Then a streamed completion through entry 1 is complete
    When the instance "engine-1-3" is killed and its lease has lapsed
    Then the timeline as text shows the request's events in the order "request.routed attempt.started request.answered"
    And the timeline as text reports that "engine-1-3" could not be reached
    And the timeline of the request as JSON lines holds only that request's events
    And the timeline as a picture has a lane for each process and one marked unreachable
    And a timeline since "yesterday" is refused
    And the timeline of the node "entry-1" holds only events of "entry-1"
