Feature: One agent forwards many long answers at once

  Scenario: Health checks of the target are not delayed by the answers
    Given a small deployment whose engine serves 160 requests at once
    Then 160 streamed completions of 60 tokens at once are all complete
