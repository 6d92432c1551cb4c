Feature: Free instances are warmed up for the model that they hold

  An instance is ID=STATE where STATE lists the models that it holds ("-" for none). "!" marks a
  lost instance, "?" one that has just appeared, and >M one that loads M. Models: v takes 4 instances, f takes 3.

  Scenario Outline: <case>
    Given the instances "<instances>" of one domain
    And the formed groups "<groups>"
    And the last groups were "<warm>"
    Then they are warmed up "<warm_ups>"

    Examples:
      | case                                       | instances         | groups | warm | warm_ups |
      | a spare that holds a model                 | a=f b=f c=f s=f   | f:abc  |      | s:f      |
      | a spare whose last group was of it         | a=f b=f c=f s=f   | f:abc  | s:f  |          |
      | a spare that has loaded another since      | a=f b=f c=f s=v   | f:abc  | s:f  | s:v      |
      | a spare that loads                         | a=f b=f c=f s=f>v | f:abc  |      |          |
      | a spare that holds nothing                 | a=f b=f c=f s=-   | f:abc  |      |          |
      | a spare that has just appeared             | a=f b=f c=f s=f?  | f:abc  |      |          |
      | another instance has just appeared         | a=f b=f c=f s=f t=-? | f:abc |   |          |
      | a broken group needs the spare now         | a=f! b=f c=f s=f  | f:abc  |      |          |
      | a broken group of the other model does not | a=f! b=f c=f s=v  | f:abc  |      | s:v      |
      | members of groups are not warmed up        | a=f b=f c=f       | f:abc  |      |          |
      | a model that is not wanted                 | a=f b=f c=f s=x   | f:abc  |      |          |

  Scenario Outline: the group of <members> was dissolved, and <leaving> have not left it yet
    Given the instances "a=f b=f c=f d=v e=v g=v h=v s=f" of one domain
    And the formed groups "v:degh"
    And "<leaving>" have not left their last group
    And the last groups were "a:f b:f c:f s:v"
    Then they are warmed up "<warm_ups>"
    And they stage "<staging>"

    Examples:
      | members | leaving | warm_ups | staging |
      | abc     | a b c   |          |         |
      | abc     | c       |          |         |
      | abc     | nobody  | s:f      |         |

  Scenario: nothing is warmed up before the first groups exist
    Given the first start of the deployment
    And the instances "a=f b=f" of one domain
    And the formed groups ""
    And the last groups were ""
    Then they are warmed up ""

  Scenario: the instances of a returning domain join their group before any is warmed up
    Given a leader whose groups have served, and a model of 3 instances
    When instances "a b c d" that hold it report one after the other, 0.2 s apart
    Then within 2 s three of them join one group, which is their first order
