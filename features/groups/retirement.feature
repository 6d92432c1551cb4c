Feature: Groups retire that the configuration no longer wants

  A model is NAME=SIZE or NAME=SIZExGROUPS. A group is MODEL and its members, an instance its domain and
  a letter; "*" marks a group that serves, "!" one with a lost member, "~" one whose time has expired.

  # Guards against a model without a serving group although its former one could go on.
  Scenario Outline: <case>
    Given the configured models "<models>" and <spares> spares a domain
    And the known groups "<groups>" and the free instances "<free>"
    Then the groups "<retiring>" retire

    Examples: of a model that is not configured
      | case                            | models | spares | groups             | free | retiring |
      | all retire at once              | k=2    | 0      | m 1a 1b *; m 1c 1d * |    | 1 2      |
      | those of other models stay      | k=2    | 0      | m 1a 1b *; k 1c 1d * |    | 1        |

    Examples: of another size
      | case                                                   | models | spares | groups                             | free     | retiring |
      | one at a time                                          | m=3    | 0      | m 1a 1b *; m 1c 1d *               | 1e       | 1        |
      | first one whose members complete a new one             | m=3    | 0      | m 1a 1b *; m 2a 2b *               | 2c       | 2        |
      | none while free instances form a new one               | m=3    | 0      | m 1a 1b *; m 1c 1d *               | 1e 1f 1g | none     |
      | none while free instances of another domain form one   | m=3    | 0      | m 1a 1b *                          | 2a 2b 2c | none     |
      | spares are left to other groups of the domain          | m=3    | 1      | m 1a 1b *; m 1c 1d 1e *            | 1f 1g 1h | 1        |
      | spares are not kept for groups of the former size      | m=3    | 1      | m 1a 1b *                          | 1c 1d 1e | none     |
      | the last one that serves goes on until the next serves | m=3    | 0      | m 1a 1b *; m 1c 1d 1e              |          | none     |
      | the last one, when the next serves                     | m=3    | 0      | m 1a 1b *; m 1c 1d 1e *            |          | 1        |
      | the last one, when its members are lacking             | m=3    | 0      | m 1a 1b *                          | 1c       | 1        |
      | the last one goes on if nothing can replace it         | m=3    | 0      | m 1a 1b *                          |          | none     |
      | the last one, when its members repair the next one     | m=3    | 0      | m 1a 1b *; m 1c 1d 1e !            |          | 1        |
      | none while a free instance repairs the next one        | m=3    | 0      | m 1a 1b *; m 1c 1d 1e !            | 1f       | none     |
      | broken ones at once                                    | m=3    | 0      | m 1a 1b !; m 1c 1d *               |          | 1        |
      | all whose time has expired                             | m=3    | 0      | m 1a 1b *~; m 1c 1d *~; m 1e 1f *  |          | 1 2      |
      | a larger number of groups is not exceeded              | m=2x1  | 0      | m 1a 1b 1c *; m 1d 1e *            | 1f 1g    | 1        |

    Examples: beyond the wanted number
      | case                                  | models | spares | groups                              | free | retiring |
      | the newest                            | m=2x1  | 0      | m 1a 1b *; m 1c 1d *                |      | 2        |
      | the least complete                    | m=2x1  | 0      | m 1a 1b !; m 1c 1d *                |      | 1        |
      | groups of a former size do not count  | m=2x1  | 0      | m 1a 1b 1c *; m 1d 1e               |      | none     |
