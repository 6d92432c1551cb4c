Feature: One agent forwards many long answers at once

  Scenario: Health checks of the target are not delayed by the answers
    Given a small deployment whose engine serves 160 requests at once
    Then 160 streamed completions of 60 tokens at once are all complete

  Scenario Outline: A busy <server> keeps <connections> connections until it accepts them
    Given a <server> whose process is busy
    Then <connections> connections opened at once are established within 500 ms

    Examples:
      | server         | connections |
      | stream server  | 600         |
      | entry server   | 600         |
      | gateway server | 600         |
