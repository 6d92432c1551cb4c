Feature: Choices by expected work keep the load even although reports are old

  Guards against targets that are overloaded in turns while others are idle. That comes about when many
  gateways choose the target whose last report is the lowest, at the same moment. Nothing is sent but
  requests, and messages between instances. A wait is what an answer takes beyond the work of its
  request at a target of pace 1.

  Scenario Outline: <gateways> gateways, targets of pace <paces>, <use> of <slots> slots used, reports <age>: <event>
    Given <gateways> gateways, and targets of pace "<paces>" with <slots> slots, of which <use> are used
    When <kind> requests arrive with reports <age> and the event "<event>", seeds 0 to 1
    Then choices of an owner let 99 in 100 wait at most <wait> ms
    And they leave no target idle beside an overloaded one for more than <idle> ms
    And their largest load over the mean is below that of reported load, random and least loaded

    Examples: calls of 15 to 90 ms with an objective of 147 ms have 57 ms left to wait
      | gateways | paces     | slots | use  | kind  | age             | event    | wait | idle |
      | 4        | 1 1 1     | 6     | 0.7  | plain | on own answers  | steady   | 57   | 147  |
      | 12       | 1 1 1     | 6     | 0.7  | plain | on own answers  | steady   | 57   | 147  |
      | 26       | 1 1 1     | 6     | 0.7  | plain | on own answers  | steady   | 57   | 147  |
      | 26       | 1 1 1     | 6     | 0.7  | plain | 0.2 s old       | steady   | 57   | 147  |
      | 26       | 1 1 1     | 6     | 0.7  | plain | 1.5 s old       | steady   | 57   | 147  |
      | 47       | 1 1 1 1 1 | 6     | 0.7  | plain | on own answers  | steady   | 57   | 147  |
      | 26       | 1 1 1     | 6     | 0.25 | plain | on own answers  | burst    | 57   | 147  |
      | 26       | 1 1 1     | 6     | 0.5  | plain | on own answers  | appears  | 57   | 147  |
      | 47       | 1 1 1 1 1 | 6     | 0.5  | plain | on own answers  | vanishes | 57   | 147  |

    Examples: a call of 90 ms takes 90 ms more at pace 2, and 180 ms more at a target that has become slow
      | gateways | paces | slots | use | kind  | age            | event  | wait | idle |
      | 26       | 2 1 1 | 6     | 0.6 | plain | on own answers | steady | 147  | 147  |
      | 26       | 1 1 1 | 6     | 0.4 | plain | on own answers | slow   | 180  | 147  |
      | 26       | 1 1 1 | 6     | 0.4 | plain | on own answers | grey   | 57   | 147  |

    Examples: what was sent to a target just before its pause waits there, within the largest objective of 400 ms
      | gateways | paces | slots | use | kind  | age            | event  | wait | idle |
      | 26       | 1 1 1 | 6     | 0.4 | plain | on own answers | paused | 57   | 400  |

    Examples: streams of 0.3 to 2.4 s with an objective of 252 ms
      | gateways | paces                   | slots | use | kind   | age            | event  | wait | idle |
      | 12       | 1 1 1 1 1 1 1 1 1 1 1 1 | 24    | 0.8 | stream | on own answers | steady | 252  | 252  |
      | 12       | 1 1 1 1 1 1 1 1 1 1 1 1 | 24    | 0.8 | stream | 1.5 s old      | steady | 252  | 252  |

  Scenario: 47 gateways and 57 targets, each third one of pace 1.5
    Given 47 gateways, and 57 targets with 24 slots, of which 0.7 are used, each third one of pace 1.5
    When stream requests arrive for 6 s with reports 1.5 s old and the event "steady", seeds 0 to 0
    Then choices of an owner leave no target idle beside an overloaded one for more than 252 ms
    And their largest load over the mean is below that of reported load, random and least loaded

  Scenario Outline: without an owner, <event>, <use> of the slots used and reports <age>
    Given 26 gateways, and targets of pace "<paces>" with 6 slots, of which <use> are used
    When plain requests arrive with reports <age> and the event "<event>", seeds 0 to 1
    Then a gateway's own choices have a smaller largest load, idle time and wait than reported load
    And these choices let 99 in 100 wait at most <wait> ms

    Examples:
      | paces | use | age            | event   | wait |
      | 1 1 1 | 0.7 | on own answers | steady  | 57   |
      | 1 1 1 | 0.7 | 0.2 s old      | steady  | 147  |
      | 1 1 1 | 0.7 | 1.5 s old      | steady  | 147  |
      | 2 1 1 | 0.6 | on own answers | steady  | 147  |
      | 1 1 1 | 0.25 | on own answers | burst  | 57   |
      | 1 1 1 | 0.4 | on own answers | slow    | 400  |

  Scenario Outline: the owner is lost for 3 s at <gateways> gateways
    Given <gateways> gateways, and targets of pace "1 1 1" with 6 slots, of which 0.7 are used, and the owner is lost
    When plain requests arrive with reports on own answers and the event "steady", seeds 0 to 1
    Then choices of an owner let 99 in 100 wait at most 57 ms
    And they leave no target idle beside an overloaded one for more than 147 ms

    Examples:
      | gateways |
      | 12       |
      | 26       |

  Scenario Outline: a target that was <event> gets its share again, <use> of the slots used
    Given 26 gateways, and targets of pace "1 1 1" with 6 slots, of which <use> are used
    When plain requests arrive for 25 s with reports on own answers and the event "<event>", seeds 0 to 1
    Then at the end the first target gets at least 0.7 of an even share from the choices of an owner

    Examples: starved targets do not show that they have recovered
      | event  | use  |
      | slow   | 0.4  |
      | slow   | 0.1  |
      | grey   | 0.4  |
      | paused | 0.4  |
      | paused | 0.1  |
