Feature: A control instance that is lost for good is replaced by an empty one at another address

  Scenario Outline: <lost> is lost, another takes its place, and then <second> is lost too
    Given a quorum of 3 control instances that are named by their addresses
    When <lost> ends for good and an empty instance that knows <known> starts
    Then the new instance votes in the place of <lost> within 20 s
    And a change is accepted and read back after <second> has ended too

    Examples:
      | lost       | known                                | second     |
      | control-3  | control-1, control-2, control-3      | control-1  |
      | the leader | control-1, control-2, control-3      | a follower |
      | a follower | the others                           | the leader |

  Scenario Outline: who votes after <joining> has asked
    Given the voters "<voters>" of which "<silent>" are silent, and <wanted> are wanted
    When <joining> asks for a vote
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
