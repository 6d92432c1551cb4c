Feature: Routes to groups of direct targets, granted by the control leader

  A target is ID.DOMAIN=GROUP@EPOCH/RANK/STATE, with "!" if it has announced that it leaves. A group
  serves 24 requests at once in one domain. Each request takes 2.5 times as long if the group spans
  several domains; the model has a pace of 0.6. A route is HEAD:SLOTS, with "ending" if it gets no
  new request.

  Scenario Outline: <case>
    Given the direct targets "<targets>"
    And the groups "<groups>"
    Then the group routes are "<routes>"

    Examples:
      | case                                        | targets                            | groups | routes      |
      | a group that serves                         | a.w=g@1/0/open b.w=g@1/1/ready     | g@1:ab | a:24        |
      | a group in two domains takes fewer requests | a.w=g@1/0/open b.e=g@1/1/ready     | g@1:ab | a:16        |
      | a head that is not open                     | a.w=g@1/0/ready b.w=g@1/1/ready    | g@1:ab |             |
      | a head that is open under an older epoch    | a.w=g@1/0/open b.w=g@1/1/ready     | g@2:ab |             |
      | a member that has joined another group      | a.w=g@1/0/open b.w=h@2/1/ready     | g@1:ab |             |
      | a member that is not known                  | a.w=g@1/0/open                     | g@1:ab |             |
      | a member that leaves                        | a.w=g@1/0/open b.w=g@1/1/ready!    | g@1:ab | a:24 ending |
      | a head that leaves and completes its work   | a.w=g@1/0/closing! b.w=g@1/1/ready | g@1:ab | a:24 ending |
      | a head that has completed its work          | a.w=g@1/0/ready! b.w=g@1/1/ready   | g@1:ab |             |
