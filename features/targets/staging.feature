Feature: Free instances load the models that their domain lacks before they are needed

  Models: v takes 4 instances, f takes 3. An instance is ID=STATE where STATE lists the models that
  it holds ("-" for none). "!" marks a lost instance, "?" one that has just appeared, "%" one that
  leaves while its group has no more work, and >M one that loads M.

  Scenario Outline: <case>
    Given the instances "<instances>" of one domain
    And the formed groups "<groups>"
    Then they stage "<staging>"

    Examples:
      | case                                               | instances                              | groups       | staging |
      | a cold spare protects the group without one        | a=v b=v c=v d=v e=f g=f h=f s=v t=-    | v:abcd f:egh | t:f     |
      | spares that hold the right models stay             | a=v b=v c=v d=v e=f g=f h=f s=v t=f    | v:abcd f:egh |         |
      | the model of a broken group comes first            | a=v! b=v c=v d=v e=f g=f h=f t=-       | v:abcd f:egh | t:v     |
      | a spare that loads is counted                      | a=v! b=v c=v d=v e=f g=f h=f s=->v t=- | v:abcd f:egh | t:f     |
      | instances that complete a group                    | a=v b=v c=v d=-                        |              | d:v     |
      | the group that needs fewer loads                   | a=v b=v c=f d=f e=-                    |              | e:f     |
      | no group can be completed and none exists          | a=v b=-                                |              |         |
      | the fewest loads decide before the models' balance | a=v b=v c=v d=f e=-                    |              | e:v     |
      | a domain whose instances have just returned        | a=v b=- c=- d=- e=-?                   |              |         |
      | an instance that returned gets time to report      | a=v b=v c=v d=v e=f g=f h=f s=- t=-?   | v:abcd f:egh |         |
      | a member that leaves counts as missing             | a=v b=v c=v d=v% e=f g=f h=f t=-       | v:abcd f:egh | t:v     |
      | a spare of another model, where no other is left   | a=f! b=f c=f d=v e=v g=v h=v s=v       | f:abc v:degh | s:f     |
      | one of two spares of another model                 | a=f! b=f c=f d=v e=v g=v h=v s=v t=v   | f:abc v:degh | s:f     |
      | a spare of another model loads already             | a=f! b=f c=f d=v e=v g=v h=v s=v>f t=v | f:abc v:degh |         |
      | no spare of another group that is broken too       | a=f! b=f c=f d=v! e=v g=v h=v s=v      | f:abc v:degh |         |

  Scenario Outline: at the first start, <case>
    Given the first start of the deployment
    And the instances "<instances>" of one domain
    And the formed groups "<groups>"
    Then they stage "<staging>"

    Examples: members load as they join, so that the first request is served as early as possible
      | case                                  | instances                           | groups       | staging |
      | nothing is staged before groups exist | a=- b=- c=- d=- e=- g=- h=- s=-     |              |         |
      | each model gets its own spare         | a=v b=v c=v d=v e=f g=f h=f s=- t=- | v:abcd f:egh | s:v t:f |

  Scenario Outline: after a first start, <case>
    Given the instances "<instances>" of one domain
    And the formed groups "<groups>"
    Then the plan is "<plan>"

    Examples:
      | case                                                             | instances                     | groups       | plan           |
      | a group is formed by holders of its model                        | a=f b=v c=v d=v e=v s=f       |              | form v:bcde    |
      | none is formed of the spares of its model                        | a=f b=f c=f d=f e=f g=f       | f:abc        |                |
      | one is formed beside the spares of its model                     | a=f b=f c=f d=f e=f g=f h=f   | f:abc        | form f:deg     |
      | idle instances of another model are no spares                    | a=f b=f c=f d=v e=v g=v h=v   | f:abc        | form v:degh    |
      | none is formed without holders of its model                      | a=f b=- c=- d=- e=-           |              |                |
      | a member is replaced by an instance of its model                 | a=v! b=v c=v d=v s=f t=v      | v:abcd       | repair v:bcdt  |
      | no instance of its model: the group waits                        | a=v! b=v c=v d=v s=f t=-      | v:abcd       |                |
      | a member leaves and an instance replaces it                      | a=v b=v c=v d=v% t=v          | v:abcd       | repair v:abct  |
      | a member leaves and no instance holds its model: the group waits | a=v b=v c=v d=v% s=f t=-      | v:abcd       |                |
      | survivors that hold another model                                | a=v! b=v c=v d=v e=f! g=f h=f | v:abcd f:egh |                |
      | survivors that complete the other group                          | a=f! b=f c=f d=f! e=f g=f     | f:abc f:deg  | dissolve f:abc |
      | survivors and a spare of their model                             | a=v! b=v c=v d=v! t=v         | v:abcd       |                |

  Scenario Outline: an engine answers the order to stage f with <outcome>, and <case>
    Given a leader whose groups have served, and a model of 3 instances
    And an engine that holds nothing and answers orders with <outcome>
    When <time> s pass after its first order
    Then the leader takes it to be loading "<model>" and has sent <orders> orders

    Examples: a leader that has just been elected does not know the loads that its predecessor ordered
      | outcome  | case                       | time | model | orders |
      | accepted | it loads the model         | 1    | f     | 1      |
      | accepted | its load goes on           | 10   | f     | 1      |
      | conflict | it loads an unknown model  | 1    | ?     | 1      |
      | conflict | it is ordered again        | 3    | ?     | 2      |
      | unknown  | it may load the model      | 1    | f     | 1      |
