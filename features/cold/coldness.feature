Feature: Control takes a target for cold until it is known to be warm

  # Guards against a full load on a target that has just started: a fact of its old incarnation, a
  # report that says nothing, or one that was sent before it became cold is taken for warmth.
  Scenario Outline: a target with a cold time of 3 s is <state> at <now>: <case>
    Given the coldness facts "<facts>"
    Then the target is <state> at time <now>, with a cold time of 3 s

    Examples: facts are appeared, reported, cold_left (-: not stated), before traffic or not, uptime
      | case                                               | facts             | now  | state |
      | it has just appeared and says nothing              | 10 10 - during -  | 10   | cold  |
      | it has just appeared and says that it is warm      | 10 10 0 during -  | 10   | cold  |
      | the cold time since its appearance is nearly over  | 10 12 0 during -  | 12.9 | cold  |
      | the cold time since its appearance is over         | 10 12 0 during -  | 13   | warm  |
      | the same, and it has never said anything           | 10 12 - during -  | 13   | warm  |
      | it says that it stays cold for longer              | 10 12 4 during -  | 15.9 | cold  |
      | the time that it stated is over                    | 10 12 4 during -  | 16   | warm  |
      | it was warm and says that it is cold               | 10 50 2 during -  | 51   | cold  |
      | it registered before the traffic                   | 10 10 0 before -  | 10   | warm  |
      | the same, but it says nothing                      | 10 10 - before -  | 10   | cold  |
      | the same, but it says that it is cold              | 10 10 1 before -  | 10.5 | cold  |
      | control restarted, it started long ago             | 10 10 0 during 60 | 10   | warm  |
      | the same, but it says nothing                      | 10 10 - during 60 | 10   | cold  |
      | control restarted, clocks may hide a recent start  | 10 10 0 during 7  | 10   | cold  |

  # Guards against routes that hide a cold target from gateways, and against a change for services
  # without a cold rate.
  Scenario Outline: the routes to <kind> targets whose service has a cold rate of <rate>: <case>
    Given <kind> targets of a service with a cold time of 3 s and a cold rate of <rate>
    When the heartbeats "<heartbeats>" arrive at a leader that has served
    Then the routes at time <now> are "<routes>"

    Examples: NAME.BORN=COLD_LEFT@T; routes are NAME:SLOTS, and cold
      | case                                      | kind   | rate | heartbeats                | now  | routes          |
      | a new target                              | plain  | 26   | a.1=0@100                 | 101  | a:3 cold        |
      | a target that is there for long           | plain  | 26   | a.1=0@100 a.1=0@102       | 103  | a:6             |
      | it becomes cold again                     | plain  | 26   | a.1=0@100 a.1=2@104       | 105  | a:3 cold        |
      | a new incarnation                         | plain  | 26   | a.1=0@100 a.2=0@105       | 106  | a:3 cold        |
      | an old incarnation reports late           | plain  | 26   | a.2=0@100 a.2=0@102 a.1=2@103 | 104 | a:6             |
      | an old one reports warmth late            | plain  | 26   | a.1=0@100 a.2=3@105 a.1=0@106 | 107 | a:3 cold     |
      | another target at the address             | plain  | 26   | a.1=0@100 b.2=0@105       | 106  | b:3 cold        |
      | its service has no cold rate              | plain  | 0    | a.1=2@100                 | 101  | a:6             |
      | a head that has just started              | engine | 26   | a.1=0@100                 | 101  | a:12 cold       |
      | a head that is there for long             | engine | 26   | a.1=0@100 a.1=0@102       | 103  | a:24            |
      | a head of a service without a cold rate   | engine | 0    | a.1=2@100                 | 101  | a:24            |

  # Guards against a restart of control that takes all targets of a deployment for cold, or takes a
  # start time that is none for an old start.
  Scenario Outline: a registry that started at time 0 gets the first heartbeat at time 1: <case>
    Given plain targets of a service with a cold time of 3 s and a cold rate of 26
    When a heartbeat of a target that started <started> arrives at a leader that has served
    Then the routes at time 2 are "<routes>"

    Examples:
      | case                              | started       | routes   |
      | the target is there for long      | 60 s before   | a:6      |
      | it has just started               | 1 s before    | a:3 cold |
      | clocks may hide a recent start    | 7 s before    | a:3 cold |
      | the clock of the target is ahead  | 60 s later    | a:3 cold |
      | it states no time                 | in no year    | a:3 cold |

  # Guards against a change of coldness that reaches the gateways only with a later round.
  Scenario Outline: a heartbeat with <later> s cold after one with <earlier> s changes routes: <changes>
    Given plain targets of a service with a cold time of 3 s and a cold rate of 26
    When the heartbeats "a.1=<earlier>@100" arrive at a leader that has served
    Then a heartbeat "a.1=<later>@101" changes routes: <changes>

    Examples:
      | earlier | later | changes |
      | 0       | 2     | yes     |
      | 2       | 0     | yes     |
      | 2       | 1     | no      |
      | 0       | 0     | no      |
