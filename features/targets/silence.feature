Feature: A server that is silent for a second or so keeps its group, a lost one is left at once

  The leader of control probes a server that gateways suspect, and the members of its group. A server
  that hangs for a moment accepts connections, answers nothing and sends no reports; then it goes on.
  A server whose process or machine is gone does not accept connections. If the first is taken for
  the second, the group is formed anew, and the answers that it was about to continue are ended.

  Scenario Outline: <case>
    Given the leader of a group of 3 and a spare, to whose servers it holds <connection>
    When the group's <server> <fault>, and gateways suspect the head <suspected>
    Then the group <outcome>

    Examples: a server that goes on
      | case                                   | connection      | server | fault               | suspected  | outcome                       |
      | A head is silent for 1.2 s             | no connections  | head   | is silent for 1.2 s | each 0.4 s | stays listed under its epoch  |
      | A head was suspected only once         | no connections  | head   | is silent for 1.2 s | once       | stays listed under its epoch  |
      | A member is silent for 1.2 s           | no connections  | member | is silent for 1.2 s | each 0.4 s | stays listed under its epoch  |
      | Only kept connections are silent       | old connections | head   | mutes old channels  | each 0.4 s | stays listed under its epoch  |
      | A full head is silent                  | old connections | head   | is silent for 1.2 s and full | each 0.4 s | stays listed under its epoch |
      | A head is silent on kept connections   | old connections | head   | is silent for 1.2 s | each 0.4 s | stays listed under its epoch  |

    Examples: a server that is lost
      | case                                   | connection      | server | fault                            | suspected  | outcome                     |
      | A head's process is gone               | no connections  | head   | refuses connections              | once       | is left within 0 to 1 s     |
      | A member's process is gone             | old connections | member | refuses connections              | once       | is left within 0 to 1 s     |
      | A head's machine is dark               | no connections  | head   | accepts no connections           | once       | is left within 0 to 1 s     |
      | A member's machine is dark             | old connections | member | accepts no connections           | once       | is left within 0 to 1 s     |
      | Another instance has the address       | no connections  | member | answers as another instance      | once       | is left within 0 to 1 s     |
      | A head crashes while it is silent      | no connections  | head   | is silent for 0.8 s and crashes  | each 0.4 s | is left within 0.6 to 1.2 s |
      | A head is mute                         | no connections  | head   | is silent for good               | each 0.4 s | is left within 1.2 to 2.5 s |
      | A mute head is suspected only once     | no connections  | head   | is silent for good               | once       | is left within 1.2 to 2.5 s |
      | A member is mute                       | old connections | member | is silent for good               | each 0.4 s | is left within 1.2 to 2.5 s |

  Scenario Outline: A head that <fault> costs few probes
    Given the leader of a group of 3 and a spare, to whose servers it holds no connections
    When the group's head <fault>, and gateways suspect the head once
    Then the leader has sent it at most <most> probes

    Examples: one shows the silence, and one is sent at its limit
      | fault               | most |
      | is silent for 1.2 s | 2    |
      | is silent for good  | 2    |
