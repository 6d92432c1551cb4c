Feature: One agent carries many long answers at once

  Scenario: Probes of the target do not wait behind the answers
    Given a small deployment whose engine serves 160 requests at once
    Then 160 streamed completions of 60 tokens at once are all whole
