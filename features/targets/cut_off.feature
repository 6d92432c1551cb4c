Feature: Groups that are cut off from control, but not from the gateways, keep serving

  Servers of one domain are partitioned from all control instances for seconds, while requests still
  reach them. Their heartbeats stop, but the gateways receive tokens from them. A group generates
  nothing while a member is missing, so each token shows that all its members are there.

  Scenario Outline: <case>
    Given a group of 3 whose heartbeats stop, and a gateway that renews its lease each 0.5 s
    When the gateway reports progress of <reported> until <until> s after the last heartbeat
    Then the group is listed until <first> s to <last> s after the last heartbeat

    Examples: without a sign of life a group is lost 3 s after the last heartbeat
      | case                                     | reported              | until | first | last |
      | the group serves all the while           | its epoch             | 8.0   | 10.0  | 11.5 |
      | it stops to generate: a member has died  | its epoch             | 2.0   | 4.0   | 5.5  |
      | nothing is sent to it                    | nothing               | 8.0   | 2.5   | 3.5  |
      | tokens of an older epoch arrive          | an older epoch        | 8.0   | 2.5   | 3.5  |
      | the report names a group that is unknown | another group         | 8.0   | 2.5   | 3.5  |

  Scenario Outline: a new leader, and a gateway whose view is <view>
    Given a group of 3 whose heartbeats stop, and a gateway that renews its lease each 0.5 s
    And a leader that has just been elected and hears from the group <heard> s later
    When the gateway renews its lease at once and again after that, with the view "<view>"
    Then the second grant <second>

    Examples: a gateway without a view needs each that the leader has, another one has a better one
      | view                  | heard | second            |
      | none                  | 0.3   | lists the group   |
      | of an earlier leader  | 0.3   | leaves it its own |

  Scenario Outline: a probe sent at 5 s is missed, and tokens were seen at <seen> s
    Given a registry that has received "a:1:10:1", one message a second
    When a probe sent 4 s later is not answered and it is seen at work at <seen> s
    Then after 0.5 s more the target a is <state>

    Examples:
      | seen | state  |
      | 4.9  | lost   |
      | 5.1  | usable |

  Scenario: A gateway reports the groups that sent it events since its last report
    Given a gateway with the groups "g@1 h@2", of which "g@1" sends events
    Then it reports "g@1" once, and again after further events
    And it reports nothing of "g" once that has a new epoch and has sent nothing under it
