Feature: Models that are short of groups come first in every domain

  Models: v takes 4 instances, f takes 3, with equal shares. An instance is ID=STATE where STATE lists
  the models that it holds ("-" for none). "!" marks a lost instance, "?" one that has just appeared,
  and >M one that loads M.

  Scenario Outline: <case>
    Given the instances "<west>" of the domain west
    And the instances "<east>" of the domain east
    And the formed groups "<groups>"
    Then the short models are "<short>"
    And they stage "<staging>"

    Examples: v has two complete groups, the instances of east are members of groups
      | case                                                | west                                  | east                            | groups                  | short | staging |
      | an idle instance keeps the short model              | a=v b=v c=v d=v s=f                   | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl v:mnop     | f     | p:f     |
      | with as many groups it becomes a spare              | a=v b=v c=v d=v s=f                   | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl            |       | s:v     |
      | the other model's spare completes a group           | a=v b=v c=v d=v s=v e=f g=f           | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl v:mnop     | f     | s:f p:f |
      | the spare stays where it would not complete one     | a=v b=v c=v d=v s=v e=f               | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl v:mnop     | f     | p:f     |
      | the short model's broken group is repaired first    | a=v! b=v c=v d=v e=f! g=f h=f t=-     | m=v n=v o=v p=v                 | v:abcd f:egh v:mnop     | f     | t:f     |
      | the spare of another broken group stays             | a=v! b=v c=v d=v s=v e=f! g=f h=f     | m=v n=v o=v p=v                 | v:abcd f:egh v:mnop     | f     |         |

  Scenario Outline: <case>: <groups>
    Given models "<models>"
    And complete groups "<groups>"
    Then the short models are "<short>"
    And giving up a group of "<giving>" leaves enough: <result>

    Examples: a model is NAME=SHARE, with /N if N groups are wanted
      | case                                | models            | groups   | short | giving | result |
      | two groups more                     | v=1 f=1           | v=3 f=1  | f     | v      | yes    |
      | one group more                      | v=1 f=1           | v=2 f=1  | f     | v      | no     |
      | shares that are no whole groups     | v=0.1425 f=0.1433 | v=1 f=3  | v     | f      | yes    |
      | many groups, one more               | v=1 f=1           | v=20 f=19 | f    | v      | no     |
      | many groups, two more               | v=1 f=1           | v=21 f=19 | f    | v      | yes    |
      | few large groups and many small     | v=0.03125 f=0.125 | v=2 f=13 | v     | f      | yes    |
      | a large group is worth four         | v=0.03125 f=0.125 | v=3 f=11 | f     | v      | no     |
      | a model without a share             | v=1 f=0           | v=3 f=1  |       |        |        |
      | no model has a share                | v=0 f=0           | v=3 f=1  |       |        |        |
      | no further group is wanted          | v=1 f=1/1         | v=3 f=1  |       |        |        |

  Scenario Outline: conversion while <case>
    Given the instances "<west>" of the domain west
    And the instances "q=v r=v s=v t=v x=f y=f z=f" of the domain east
    And the formed groups "<groups>"
    Then the conversion is "<conversion>"

    Examples: v:abcd and v:mnop of west and v:qrst of east, g1 to g3, are complete unless a member is lost
      | case                                            | west                                        | groups                           | conversion   |
      | one group of f serves and none is free          | a=v b=v c=v d=v m=v n=v o=v p=v             | v:abcd v:mnop v:qrst f:xyz       | g1 to f: a b c |
      | a member loads the model                        | a=v b=v>f c=v d=v m=v n=v o=v p=v           | v:abcd v:mnop v:qrst f:xyz       | g1 to f: a c |
      | all loads have begun                            | a=v>f b=v>f c=v>f d=v m=v n=v o=v p=v       | v:abcd v:mnop v:qrst f:xyz       | g1 to f:     |
      | all loads are done                              | a=f b=f c=f d=v m=v n=v o=v p=v             | v:abcd v:mnop v:qrst f:xyz       | g1 to f: ready |
      | members of another group have loaded            | a=v b=v c=v d=v m=f n=f o=f p=v             | v:abcd v:mnop v:qrst f:xyz       | g2 to f: ready |
      | a free instance holds the model                 | a=v b=v c=v d=v e=f m=v n=v o=v p=v         | v:abcd v:mnop v:qrst f:xyz       | g1 to f: a b |
      | the difference is one group                     | a=v! b=v c=v d=v m=v n=v o=v p=v            | v:abcd v:mnop v:qrst f:xyz       |              |
      | free instances can complete a group             | a=v b=v c=v d=v e=- g=- h=v m=v n=v o=v p=v | v:abcd v:mnop v:qrst f:xyz       |              |
      | a broken group lacks one member                 | a=v b=v c=v d=v e=f! g=f h=f m=v n=v o=v p=v | v:abcd v:mnop v:qrst f:egh f:xyz | g1 to f: a   |

  Scenario Outline: the plan when a group is converted and <case>
    Given the instances "<west>" of the domain west
    And the instances "q=v r=v s=v t=v x=f y=f z=f" of the domain east
    And the formed groups "<groups>"
    And "<idle>" have no more work
    Then the plan is "<plan>"

    Examples:
      | case                            | west                            | groups                     | idle | plan            |
      | it has work                     | a=f b=f c=f d=v m=v n=v o=v p=v | v:abcd v:mnop v:qrst f:xyz |      |                 |
      | it has no more work             | a=f b=f c=f d=v m=v n=v o=v p=v | v:abcd v:mnop v:qrst f:xyz | a    | dissolve v:abcd |
      | not all loads are done          | a=f b=f c=v>f d=v m=v n=v o=v p=v | v:abcd v:mnop v:qrst f:xyz | a  |                 |
      | it has been dissolved           | a=f b=f c=f d=v m=v n=v o=v p=v | v:mnop v:qrst f:xyz        |      | form f:abc      |

  Scenario Outline: at most <limit> loads at once, <case>
    Given a weight store that serves <limit> loads at full speed
    And the instances "<west>" of the domain west
    And the instances "<east>" of the domain east
    And the formed groups "<groups>"
    Then they stage "<staging>"

    Examples: v:abcd of west needs a spare, the instances of east complete a group or repair one
      | limit | case                                      | west                | east                        | groups       | staging |
      | 0     | no limit                                  | a=v b=v c=v d=v s=- | j=f k=f l=f m=v n=v o=v p=- | v:abcd f:jkl | p:v s:v |
      | 2     | all loads fit                             | a=v b=v c=v d=v s=- | j=f k=f l=f m=v n=v o=v p=- | v:abcd f:jkl | p:v s:v |
      | 1     | a new group comes before a spare          | a=v b=v c=v d=v s=- | j=f k=f l=f m=v n=v o=v p=- | v:abcd f:jkl | p:v     |
      | 1     | a broken group comes before a new one     | a=f b=f c=-         | m=v! n=v o=v p=v t=-        | v:mnop       | t:v     |
      | 1     | a load that runs already counts           | a=v b=v c=v d=v s=->v | j=f k=f l=f m=v n=v o=v p=- | v:abcd f:jkl |     |
      | 1     | a broken group does not wait for others   | a=v b=v c=v d=v s=->v | m=v! n=v o=v p=v t=-      | v:abcd v:mnop |    t:v     |

  Scenario: a model without a share gets groups after the others
    Given models "v=0 f=1"
    And the instances "a=v b=v c=f d=v" of one domain
    And the formed groups ""
    Then the plan is "form f:c, form v:a, form v:b"
