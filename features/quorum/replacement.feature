Feature: A permanently lost control instance is replaced by an empty one at another address

  Scenario Outline: <lost> is replaced, and then <second> is lost
    Given a quorum of 3 control instances that are named by their addresses
    When <lost> is permanently lost and an empty instance that knows <known> starts
    Then the new instance becomes a voter in place of <lost> within 20 s
    And a change is accepted and read back after <second> is lost too

    Examples:
      | lost       | known                                | second     |
      | control-3  | control-1, control-2, control-3      | control-1  |
      | the leader | control-1, control-2, control-3      | a follower |
      | a follower | the others                           | the leader |

  Scenario Outline: voters after <joining> has asked to become one
    Given the voters "<voters>" of which "<silent>" are unresponsive, and <wanted> are wanted
    When <joining> asks to become a voter
    Then the voters become, step by step, "<steps>"

    Examples:
      | voters | silent | wanted | joining | steps         |
      | a b c  |        | 3      | b       |               |
      | a b c  |        | 3      | d       |               |
      | a b c  | c      | 3      | d       | a b c d/a b d |
      | a b c  | b c    | 3      | d       | a b c d/a c d |
      | a b c  |        | 5      | d       | a b c d       |
      | a b c  | c      | 5      | d       | a b c d       |
      | a b c  | c      | 3      | c       |               |
