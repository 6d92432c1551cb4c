Feature: The rate of loads from the weight store is limited

  Scenario Outline: <wanted> loads requested at once, <rate> a second, <start>
    Given a load budget at <start>
    When <wanted> loads are requested each 0.1 s for <seconds> s at a rate of <rate>
    Then at most <most> loads start in any 5 s, and at least <least> in all

    Examples:
      | start         | wanted | rate | seconds | most | least |
      | a later start | 20     | 3    | 20      | 17   | 50    |
      | a later start | 1      | 3    | 20      | 17   | 50    |
      | a first start | 27     | 3    | 1       | 270  | 270   |
      | a later start | 5      | 0    | 1       | 50   | 50    |
