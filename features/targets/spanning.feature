Feature: Groups span domains while too few serve a model, and return to one domain when possible

  Models: v takes 4 instances, f takes 3. An instance is ID=STATE where STATE lists the models that
  it holds ("-" for none). "!" marks a lost instance, and >M one that loads M.

  Scenario Outline: <case>
    Given groups that may span domains
    And the instances "<west>" of the domain west
    And the instances "<east>" of the domain east
    And the formed groups "<groups>"
    Then the plan is "<plan>"

    Examples: at most one complete group of f is left, instances of the other domain help
      | case                                                              | west             | east              | groups      | plan           |
      | a free instance of a domain without a group                       | a=f! b=f c=f     | s=f               | f:abc       | repair f:bcs   |
      | no group serves: a spare is taken from a domain with a broken one | a=f! b=f c=f     | d=f! e=f! g=f s=f | f:abc f:deg | repair f:bcs   |
      | survivors of the least complete group are released                | a=f! b=f c=f     | d=f! e=f! g=f     | f:abc f:deg | dissolve f:deg |
      | survivors that are too few stay                                   | a=f! b=f! c=f    | d=f! e=f! g=f     | f:abc f:deg |                |
      | a spare stays where a group of its domain serves                  | a=f! b=f c=f     | d=f e=f g=f s=f   | f:abc f:deg |                |
      | an instance of its own domain comes first                         | a=f! b=f c=f t=f | s=f               | f:abc       | repair f:bct   |
      | instances of a returning domain are not taken                     | a=f! b=f c=f     | s=f?              | f:abc       |                |
      | an instance that loads the model does not help yet                | a=f! b=f c=f     | s=v>f             | f:abc       |                |

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
      | case                                     | west        | east     | groups | idle | recalled | plan         |
      | no instance of its domain can replace it | b=f c=f t=v | s=f      | f:bcs  |      |          |              |
      | an instance of its domain can replace it | b=f c=f t=f | s=f      | f:bcs  |      | g1       |              |
      | it has completed its work                | b=f c=f t=f | s=f      | f:bcs  | b    | g1       | repair f:bct |
      | its remote member is lost                | b=f c=f     | s=f! u=f | f:bcs  |      |          | repair f:bcu |

  Scenario Outline: staging while <case>
    Given groups that may span domains
    And the instances "<west>" of the domain west
    And the instances "<east>" of the domain east
    And the formed groups "<groups>"
    Then they stage "<staging>"

    Examples:
      | case                                                 | west         | east                 | groups       | staging |
      | a group has a member in the other domain             | b=f c=f t=-  | s=f u=-              | f:bcs        | t:f     |
      | released instances wait for a broken group elsewhere | a=f! b=f c=f | g=f d=v! e=v h=v i=v | f:abc v:dehi |         |
