Feature: Operators administer the deployment through any entry, and refusals are typed

  Scenario: Requests that are malformed or not permitted
    Given a deployment with operators of every role
    Then these administration requests are answered as listed
      | operator   | request                          | generation | body                                             | status | type               |
      | nobody     | GET status                       |            |                                                  | 401    | CommandRefused     |
      | reader     | GET status                       |            |                                                  | 200    | StatusReport       |
      | reader     | PUT drains                       |            | {}                                               | 403    | CommandRefused     |
      | reader     | PUT preset                       | 0          | {"preset": "peak"}                               | 403    | CommandRefused     |
      | operator   | PUT configuration                | 1          |                                                  | 403    | CommandRefused     |
      | operator   | PUT accounts/x                   |            | {}                                               | 403    | CommandRefused     |
      | admin      | PUT configuration                | abc        |                                                  | 422    | CommandRefused     |
      | admin      | PUT configuration                | -1         |                                                  | 422    | CommandRefused     |
      | admin      | PUT configuration                |            |                                                  | 422    | CommandRefused     |
      | admin      | PUT configuration                | 99999999999999999999 |                                        | 422    | CommandRefused     |
      | admin      | PUT configuration                | 1          | drafts = 99999999999999999999                    | 422    | ConfigurationInvalid |
      | admin      | PUT configuration                | 99         |                                                  | 409    | GenerationConflict |
      | admin      | PUT configuration                | 1          | models = 3                                       | 422    | ConfigurationInvalid |
      | admin      | PUT configuration                | 1          | \xff\xfe                                         | 422    | ConfigurationInvalid |
      | admin      | PUT configuration                | 1          | [[models]]\nname="a"\n[[models]]\nname="a"       | 422    | ConfigurationInvalid |
      | admin      | PUT configuration                | 1          | [weights]\ngroup_downtime = -1                   | 422    | ConfigurationInvalid |
      | operator   | PUT preset                       | abc        | {"preset": "peak"}                               | 422    | CommandRefused     |
      | operator   | PUT preset                       | 0          | {"preset": "pique"}                              | 422    | CommandRefused     |
      | operator   | PUT preset                       | 0          | \xff                                             | 422    | CommandRefused     |
      | operator   | PUT preset                       | 7          | {"preset": "peak"}                               | 409    | GenerationConflict |
      | operator   | PUT drains                       |            | [1]                                              | 422    | CommandRefused     |
      | operator   | PUT drains                       |            | {"scope": "group", "subject": "g", "is_draining": true} | 422 | CommandRefused |
      | admin      | PUT accounts/x                   |            | {"key": 1}                                       | 422    | CommandRefused     |
      | admin      | PUT accounts/x                   |            | {}                                               | 422    | CommandRefused     |
      | admin      | PUT accounts/skarvik             |            | {"remove_key_hashes": ["0"]}                     | 422    | CommandRefused     |
      | admin      | DELETE accounts/x                |            |                                                  | 422    | CommandRefused     |
      | admin      | DELETE status                    |            |                                                  | 405    | CommandRefused     |
      | admin      | GET configuration/77             |            |                                                  | 404    | CommandRefused     |
      | admin      | GET nothing                      |            |                                                  | 404    | CommandRefused     |
    And two operators who race through two entries with equal expected generations get consistent answers
      | change        |
      | configuration |
      | preset        |

  Scenario: The command line, and a key rotation without refused requests
    Given a deployment with operators of every role
    Then these commands exit as listed
      | command                                        | code | output            |
      | status                                         | 0    | leader            |
      | groups                                         | 0    | assistant         |
      | targets                                        | 0    | engine-1-1        |
      | checks                                         | 0    | LEVEL             |
      | config show                                    | 0    | assistant         |
      | config check missing.toml                      | 2    |                   |
      | config check good.toml                         | 0    | valid             |
      | config check bad.toml                          | 1    |                   |
      | config apply bad.toml                          | 1    |                   |
      | config apply good.toml --wait --command-id c1  | 0    | generation        |
      | config apply good.toml --wait --command-id c1  | 0    | generation        |
      | config apply good.toml --expected 1            | 3    |                   |
      | config history                                 | 0    | c1                |
      | config diff 1 2                                | 0    | generation 2      |
      | config diff 1 77                               | 1    |                   |
      | config diff 1                                  | 2    |                   |
      | preset peak --wait                             | 0    | generation        |
      | preset peak --expected 0                       | 3    |                   |
      | preset                                         | 0    | peak              |
      | --json preset                                  | 0    | "preset":"peak"   |
      | account list                                   | 0    | skarvik           |
      | account add-key newcomer                       | 0    | key               |
      | account remove newcomer --wait                 | 0    | generation        |
      | drain instance engine-1-3 --wait               | 0    |                   |
      | undrain instance engine-1-3                    | 0    |                   |
      | drain group nothing                            | 1    |                   |
      | --address 127.0.0.1:1 status                   | 4    |                   |
    And a key is rotated under load without a refused request
