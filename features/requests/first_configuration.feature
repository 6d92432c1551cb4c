Feature: An entry that was never told a configuration asks callers to come back

  # Guards against an entry that is ready, and refuses every key for good, between the first lease and
  # the first configuration: seen with a disk that took 0.3 s for each write.
  Scenario Outline: <request> before the first configuration
    Given a deployment to which no configuration has been applied
    Then /readyz of its entry answers 503 though it holds a lease
    And <request> is refused with 503, not_configured and <outcome>, to be sent again after 1 s
    When its first configuration is applied
    Then /readyz of its entry answers 200, and <request> is not refused for its key

    Examples:
      | request           | outcome |
      | a completion      | not_run |
      | a list of models  | not_run |
      | an order          | not_run |
      | a keyed order     | unknown |
