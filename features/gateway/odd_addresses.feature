Feature: A target with an address that cannot be connected to gets no request, and nothing else fails

  # Guards against a view from another process that names an impossible address: a request that was
  # placed there failed as if it might have run, and the target stayed the least loaded one.
  Scenario Outline: the view lists a <kind> target at <address>
    Given a gateway with a target at <address>
    When a request of kind <kind> is sent, and 6 more after a sound target is listed as well
    Then the first one is refused with 503, and the others are answered

    Examples:
      | kind       | address              |
      | once       | 127.0.0.1:99999      |
      | once       | 127.0.0.1            |
      | once       | 127.0.0.1:port       |
      | idempotent | 127.0.0.1:9999999999 |
      | stream     | 127.0.0.1:99999      |
      | stream     | server.invalid:80    |
