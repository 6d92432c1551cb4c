Feature: The documentation matches the code

  Scenario: the generated reference is up to date
    When the tool "tools/reference.py --check" is run
    Then it exits with 0

  Scenario: the tables of the capacity page match the committed measurements
    When the tool "tools/capacity_table.py --check" is run
    Then it exits with 0

  Scenario: every link between pages points to an existing page
    Then no page has a broken link

  Scenario Outline: the commands of <page> run as they are written
    When the tool "tools/run_docs.py <page>" is run
    Then it exits with 0

    Examples:
      | page                      |
      | README.md                 |
      | docs/intro/first-steps.md |
      | docs/how-to/configure.md  |
      | docs/how-to/install.md    |
      | CONTRIBUTING.md           |
      | docs/OPERATIONS.md        |

  Scenario Outline: the fit of the capacity table recovers known slopes
    Given measurements of base <base> and slopes <slopes> with an error of <error>
    When the capacity table fits them
    Then the fit has base <base> and slopes <slopes> within <tolerance>

    Examples:
      | base | slopes   | error | tolerance |
      | 5    | 2        | 0     | 0.000001  |
      | 0    | 0.25     | 0     | 0.000001  |
      | 1    | 3,0.5    | 0     | 0.000001  |
      | 5    | 2        | 0.1   | 0.2       |

  Scenario: too few sizes give no fit
    Given 2 measurements of one size
    When the capacity table fits them
    Then there is no fit
