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

    # Guards against two of three voters that end before the loss of the first one is noticed.
    Examples: the first voter leads; letters are in the order of the disks, capital ones of the first start
      | voters    | silent | wanted | joining               | steps                                   |
      | a b c     |        | 3      | d e                   | a b c d/a b c d e                       |
      | a b c     |        | 3      | d e f                 | a b c d/a b c d e/a b c d e f/a c d e f |
      | a b c     | b      | 3      | d e                   | a b c d/a c d                           |
      | a b c d e | a      | 3      | f                     | b c d e/b c d e f                       |
      | a b c d   | d      | 3      | nobody                | a b c                                   |
      | a b c d   |        | 3      | nobody                | a c d                                   |
      | a b c     | b      | 2      | nobody                |                                         |
      | a b c d e | a b    | 3      | nobody                | b c d e/c d e                           |
      | a         |        | 1      | b c                   |                                         |
      | a b c     |        | 3      | D E F                 |                                         |
      | a b c     | b      | 3      | D E                   | a b c D/a c D                           |
      | a b c     |        | 3      | nobody, while b ends, |                                         |
      | a b c     |        | 3      | d, while b ends,      | a b c d/a c d                           |
      | a b c     |        | 3      | d, while a ends,      | a b c d/b c d                           |
      | a b c     |        | 3      | d, while a b ends,    | a b c d/a c d                           |
      | a b c     |        | 3      | d e, while a b ends,  | a b c d/a c d/a c d e/c d e             |
      | a b c     |        | 3      | d, while d ends,      |                                         |
      | a b c d e |        | 3      | nobody, while b ends, | a c d e/a d e                           |
      | a         |        | 1      | b, while a ends,      | a b/b                                   |
