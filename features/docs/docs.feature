Feature: The documentation holds what it says

  Scenario: the reference is made from the code as it is
    When the tool "tools/reference.py --check" is run
    Then it ends without a fault

  Scenario: the tables of the capacity page are made from the committed measurements
    When the tool "tools/capacity_table.py --check" is run
    Then it ends without a fault

  Scenario: every link between pages leads to a page
    Then no page has a broken link

  Scenario Outline: the commands of <page> run as they are written
    When the tool "tools/run_docs.py <page>" is run
    Then it ends without a fault

    Examples:
      | page                      |
      | README.md                 |
      | docs/intro/first-steps.md |
      | docs/how-to/configure.md  |
      | CONTRIBUTING.md           |
