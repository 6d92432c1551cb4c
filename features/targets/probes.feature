Feature: A suspected target is probed once in an interval, and each suspicion is followed up

  Gateways suspect a target each 0.4 s while it sends nothing, and at once when it ends a connection.

  # Guards against suspicions that are dropped because they come slightly early, so that a target that
  # crashes while it is silent is left one interval too late.
  Scenario Outline: <case>
    Given a leader whose probes of a target take <duration> s
    When the target is suspected at "<suspected>"
    Then it is probed at "<probed>"

    Examples:
      | case                                        | duration | suspected        | probed          |
      | the first suspicion at once                 | 0.1      | 0                | 0               |
      | a suspicion after the interval at once      | 0.1      | 0 0.5            | 0 0.5           |
      | the running probe answers a suspicion       | 0.2      | 0 0.1            | 0               |
      | one after the probe, when the interval ends | 0.1      | 0 0.3            | 0 0.4           |
      | several of them together                    | 0.1      | 0 0.2 0.3 0.35   | 0 0.4           |
      | suspicions that come slightly early         | 0.1      | 0 0.35 0.7 1.05  | 0 0.4 0.8 1.2   |
