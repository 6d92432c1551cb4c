Feature: Settings and configuration are checked before they are used

  Scenario Outline: one fault is found, with its id and subject
    Given a settings file with <lines>
    When the settings are checked
    Then there is exactly one finding, <id> on <subject>

    Examples: structure
      | lines                                  | id             | subject                |
      | lease.duratoin = 4                     | documents.E002 | lease.duratoin         |
      | lease.duration = "4s"                  | documents.E003 | lease.duration         |
      | lease.duration = 4000                  | documents.E003 | lease.duration         |
      | agent.probe_interval = 0               | documents.E003 | agent.probe_interval   |
      | agent.probe_interval = -0.1            | documents.E003 | agent.probe_interval   |
      | control.journal_shards = 0             | documents.E003 | control.journal_shards |
      | control.journal_shards = 1.5           | documents.E003 | control.journal_shards |
      | entry.body_limit = 4                   | documents.E003 | entry.body_limit       |
      | roles = ["controller"]                 | documents.E003 | roles                  |
      | entry = 8080                           | documents.E003 | entry                  |
      | control.answer_retention = 99999999999999999999 | documents.E003 | control.answer_retention |
      | control.peers = [{instance = "c-1"}]   | documents.E004 | control.peers[0].address |

    Examples: combinations
      | lines                                                     | id             | subject                  |
      | stream = "localhost:7100"; roles = ["agent"]; control.peers = [{instance = "c-1", address = "10.0.0.1:7100"}] | addresses.E001 | stream |
      | stream = "10.0.0.1:70000"; roles = ["agent"]; control.peers = [{instance = "c-1", address = "10.0.0.1:7100"}] | addresses.E001 | stream |
      | roles = ["agent"]; control.peers = [{instance = "c-1", address = "control:7100"}] | addresses.E001 | control.peers[0].address |
      | agent.http = "127.0.0.1:8080"                             | addresses.E002 | agent.http               |
      | roles = []; control.peers = [{instance = "c-1", address = "10.0.0.1:7100"}] | roles.E001 | roles |
      | roles = ["control", "control"]                            | roles.E002     | roles                    |
      | roles = ["agent"]; control.peers = []                     | roles.E003     | control.peers            |
      | roles = ["control", "gateway"]                            | roles.E009     | roles                    |
      | instance = "node-9"                                       | roles.E005     | control.peers            |
      | roles = ["agent"]                                         | roles.E006     | roles                    |
      | stream = "127.0.0.1:7101"                                 | roles.E007     | stream                   |
      | entry.operator_token_hashes = ["secret"]                  | roles.E008     | entry.operator_token_hashes |
      | control.election_timeout = 0.2                            | timing.E001    | control.election_timeout |
      | lease.renew_interval = 1.5                                | timing.E002    | lease.duration           |
      | agent.member_timeout = 0.2                                | timing.E003    | agent.member_timeout     |
      | control.data_folder = "/dev/null/data"                    | storage.E001   | control.data_folder      |
      | control.initial_configuration = "missing.toml"            | storage.E002   | control.initial_configuration |

  Scenario Outline: duplicate control peers are refused by <what>
    Given a settings file with <lines>
    When the settings are checked
    Then there is exactly one finding, roles.E004 on control.peers

    Examples:
      | what     | lines |
      | instance | roles = ["agent"]; control.peers = [{instance = "c-1", address = "10.0.0.1:7100"}, {instance = "c-1", address = "10.0.0.2:7100"}, {instance = "c-2", address = "10.0.0.3:7100"}] |
      | address  | roles = ["agent"]; control.peers = [{instance = "c-1", address = "10.0.0.1:7100"}, {instance = "c-2", address = "10.0.0.1:7100"}, {instance = "c-3", address = "10.0.0.3:7100"}] |

  Scenario: all faults of a settings file are found in one run
    Given a settings file with lease.duratoin = 4; agent.probe_interval = 0; roles = ["boss"]; extra = 1
    When the settings are checked
    Then there are 4 findings, each with a hint
    And the daemon refuses the same file with exit code 2 and all 4 findings

  Scenario: all faulty combinations of settings are found in one run
    Given a settings file with instance = "node-9"; agent.member_timeout = 0.2; control.election_timeout = 0.2
    When the settings are checked
    Then there are 3 findings, each with a hint
    And the daemon refuses the same file with exit code 2 and all 3 findings

  Scenario: a document that is nested too deeply
    Given a settings file that nests 10000 lists
    When the settings are checked
    Then there is exactly one finding, documents.E001 on document

  Scenario: a syntax error names its line
    Given a settings file with lease.duration = 4; lease.renew_interval = = 3
    When the settings are checked
    Then there is exactly one finding, documents.E001 on document
    And the finding's text names line 2

  Scenario Outline: all <faults> faults of a configuration document are found
    Given a configuration document with <lines>
    When the configuration is checked by the command line
    Then the command exits with 1 and names <faults> findings

    Examples:
      | faults | lines                                                                           |
      | 1      | weights.group_downtime = -1                                                     |
      | 2      | weights.group_downtme = 1; ordinary.queue_limit = "many"                        |
      | 3      | models = [{name = "a"}, {name = "a", instances_per_group = 0}]; accounts = [{id = "x", key_hashes = ["k"]}] |

  Scenario Outline: the example <file> passes the checks
    Then the command line accepts the example <file> as <kind>

    Examples:
      | file                                | kind          |
      | single.toml                         | settings      |
      | skarvik/control-1.toml              | settings      |
      | skarvik/entry-1.toml                | settings      |
      | skarvik/agent-1.toml                | settings      |
      | saelgaetisbandalagid/control-1.toml | settings      |
      | saelgaetisbandalagid/entry-1.toml   | settings      |
      | saelgaetisbandalagid/agent-1.toml   | settings      |
      | single-configuration.toml           | configuration |
      | skarvik/configuration.toml          | configuration |
      | saelgaetisbandalagid/configuration.toml | configuration |
