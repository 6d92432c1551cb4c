Feature: Operators evacuate a failure domain by command

  Scenario: The commands, their exit codes and the status
    # Commands that took another path than the platform's calls would not cover direct targets, and
    # an unknown domain would be accepted.
    Given a deployment with operators of every role
    Then these commands exit as listed
      | command                                | code | output                                         |
      | drain failure_domain nowhere           | 1    |                                                |
      | undrain failure_domain nowhere         | 1    |                                                |
      | drain failure_domain domain-1 --wait   | 0    |                                                |
      | status                                 | 0    | evacuation     domain-1, ordered               |
      | status                                 | 0    | in force since                                 |
      | --json status                          | 0    | "holding":[],"working":[]                      |
      | undrain failure_domain domain-1        | 0    |                                                |
      | status                                 | 0    | drains         none                            |
    And these administration requests are answered as listed
      | operator   | request    | generation | body                                                                   | status | type          |
      | operator   | PUT drains |            | {"scope": "failure_domain", "subject": "x", "is_draining": true}       | 404    | DomainUnknown |
      | operator   | PUT drains |            | {"scope": "failure_domain", "subject": "", "is_draining": true}        | 404    | DomainUnknown |
