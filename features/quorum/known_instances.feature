Feature: The leader remembers the control instances that it has seen

  # Guards against instances without a vote that know no voter after a restart, and that nobody calls.
  Scenario Outline: <case>
    Given control instances that were seen as in "<events>"
    Then "<known>" are known at <now> s

    Examples: an event is an instance and a time, or the list of a leader and a time
      | case                                      | events            | now | known |
      | two instances renew their leases          | a@0 b@1           | 2   | a b   |
      | an instance is away for minutes           | a@0 b@1 a@500     | 590 | a b   |
      | an instance is gone for good              | a@0 b@1 a@500     | 700 | a     |
      | a voter takes over the leader's list      | a@0 =b,c@1        | 2   | b c   |
      | it is elected, and an instance returns    | =b,c@1 d@2        | 3   | b c d |
      | it takes over the list again and again    | =b@1 =b@500       | 700 | b     |
