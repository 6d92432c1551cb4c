Feature: Groups span domains while a model is scarce, and return to one when they can

  Models: v takes 4 instances, f takes 3. An instance is ID=STATE where STATE lists what its host
  holds ("-" for nothing), "!" that it is lost, and >M that it loads M.

  Scenario Outline: <case>
    Given groups that may span domains
    And the instances "<west>" of the domain west
    And the instances "<east>" of the domain east
    And the formed groups "<groups>"
    Then the plan is "<plan>"

    Examples: at most one whole group of f is left, hosts of the other domain help
      | case                                              | west          | east                | groups    | plan           |
      | a free host of a domain without a group           | a=f! b=f c=f  | s=f                 | f:abc     | repair f:bcs   |
      | no group serves: a spare is taken from a domain with a broken one | a=f! b=f c=f | d=f! e=f! g=f s=f | f:abc f:deg | repair f:bcs |
      | survivors of the least whole group are released   | a=f! b=f c=f  | d=f! e=f! g=f       | f:abc f:deg | dissolve f:deg |
      | survivors that are too few stay                   | a=f! b=f! c=f | d=f! e=f! g=f       | f:abc f:deg |                |
      | a spare stays where a group of its domain serves  | a=f! b=f c=f  | d=f e=f g=f s=f     | f:abc f:deg |                |
      | a host of its own domain comes first              | a=f! b=f c=f t=f | s=f              | f:abc     | repair f:bct   |
      | hosts of a domain that comes back are left to it  | a=f! b=f c=f  | s=f?                | f:abc     |                |
      | a host that loads the model does not help yet     | a=f! b=f c=f  | s=v>f               | f:abc     |                |

  Scenario: where two groups of the model serve, a broken one waits for its domain
    Given groups that may span domains
    And the instances "a=f! b=f c=f d=f e=f g=f" of the domain west
    And the instances "h=f i=f j=f" of the domain east
    And the instances "s=f" of the domain north
    And the formed groups "f:abc f:deg f:hij"
    Then the plan is ""

  Scenario: a group of a model that is too slow in several domains waits
    Given only groups of v may span domains
    And the instances "a=f! b=f c=f" of the domain west
    And the instances "s=f" of the domain east
    And the formed groups "f:abc"
    Then the plan is ""

  Scenario Outline: a group of west has a member in east, and <case>
    Given groups that may span domains
    And the instances "<west>" of the domain west
    And the instances "<east>" of the domain east
    And the formed groups "<groups>"
    And "<idle>" have no more work
    Then the groups to recall are "<recalled>"
    And the plan is "<plan>"

    Examples:
      | case                                       | west         | east        | groups | idle | recalled | plan         |
      | no host of its domain can take the place   | b=f c=f t=v  | s=f         | f:bcs  |      |          |              |
      | a host of its domain can take the place    | b=f c=f t=f  | s=f         | f:bcs  |      | g1       |              |
      | it has ended its work                      | b=f c=f t=f  | s=f         | f:bcs  | b    | g1       | repair f:bct |
      | its far member is lost                     | b=f c=f      | s=f! u=f    | f:bcs  |      |          | repair f:bcu |

  Scenario Outline: staging while <case>
    Given groups that may span domains
    And the instances "<west>" of the domain west
    And the instances "<east>" of the domain east
    And the formed groups "<groups>"
    Then they stage "<staging>"

    Examples:
      | case                                              | west            | east           | groups          | staging |
      | a group has a member in the other domain          | b=f c=f t=-     | s=f u=-        | f:bcs           | t:f     |
      | released hosts wait for a broken group elsewhere  | a=f! b=f c=f    | g=f d=v! e=v h=v i=v | f:abc v:dehi |         |
