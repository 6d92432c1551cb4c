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
      | an idle instance keeps the short model              | a=v b=v c=v d=v s=f                   | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl v:mnop     | f     |         |
      | with as many groups it becomes a spare              | a=v b=v c=v d=v s=f                   | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl            |       | s:v     |
      | the other model's spare completes a group           | a=v b=v c=v d=v s=v e=f g=f           | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl v:mnop     | f     | s:f     |
      | the spare stays where it would not complete one     | a=v b=v c=v d=v s=v e=f               | j=f k=f l=f m=v n=v o=v p=v     | v:abcd f:jkl v:mnop     | f     |         |
      | the short model's broken group is repaired first    | a=v! b=v c=v d=v e=f! g=f h=f t=-     | m=v n=v o=v p=v                 | v:abcd f:egh v:mnop     | f     | t:f     |
      | the spare of another broken group stays             | a=v! b=v c=v d=v s=v e=f! g=f h=f     | m=v n=v o=v p=v                 | v:abcd f:egh v:mnop     | f     |         |
