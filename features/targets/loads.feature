Feature: The weight store is asked for no more loads than it bears

  Scenario Outline: <wanted> loads wanted at once, <rate> a second, <start>
    Given a load budget at <start>
    When <wanted> loads are wanted each 0.1 s for <seconds> s at a rate of <rate>
    Then in any 5 s at most <most> begin, and at least <least> in all

    Examples:
      | start         | wanted | rate | seconds | most | least |
      | a later start | 20     | 3    | 20      | 17   | 50    |
      | a later start | 1      | 3    | 20      | 17   | 50    |
      | a first start | 27     | 3    | 1       | 270  | 270   |
      | a later start | 5      | 0    | 1       | 50   | 50    |
