Feature: The registry of direct targets handles late and repeated heartbeats and ended incarnations

  Each message is ID:ADDRESS:INCARNATION:SEQUENCE, with "d" at the end for a draining target; -ID
  is a departure, "--ID" one that was received before this registry knew the target, with "@" and the
  time at which it was received, and +N are N s. A target without a heartbeat for 3 s is lost.

  Scenario Outline: <case>
    Given a registry that has received "<messages>", one message a second
    Then after <seconds> s more the usable targets are "<usable>" and the draining ones "<draining>"

    Examples:
      | case                                                  | messages                   | seconds | usable | draining |
      | a target that sends heartbeats                        | a:1:10:1                   | 0       | a      |          |
      | an unresponsive target                                | a:1:10:1                   | 3       |        |          |
      | an out-of-order heartbeat is ignored                  | a:1:10:2d a:1:10:1         | 0       | a      | a        |
      | a later start of the same id is a new incarnation     | a:1:10:9d a:1:20:1         | 0       | a      |          |
      | a late heartbeat of the ended incarnation             | a:1:10:8 a:1:20:1 a:1:10:9 | 0       | a      |          |
      | the address has passed to a newer target              | a:1:10:1 b:1:20:1          | 0       | b      |          |
      | a late heartbeat from before the address passed on    | b:1:20:1 a:1:10:7          | 0       | b      |          |
      | two addresses                                         | a:1:10:1 b:2:20:1          | 0       | a b    |          |
      | a departure that was announced                        | a:1:10:1d -a               | 0       |        |          |
      | a departure without notice: it completes its work     | a:1:10:1 -a                | 7       | a      | a        |
      | a departure that is reported twice                    | a:1:10:1 -a -a             | 1       | a      | a        |
      | a departure without notice: its work is complete      | a:1:10:1 -a                | 8       |        | a        |
      | a heartbeat that arrives after the departure          | a:1:10:1 -a a:1:10:2       | 8       |        | a        |
      | a heartbeat that arrives after an announced departure | a:1:10:1d -a a:1:10:2      | 0       |        |          |
      | a new incarnation after a departure                   | a:1:10:1 -a a:1:20:1       | 0       | a      |          |

    # Guards against departures that were acknowledged and forgotten: the late heartbeats of a target
    # that control did not know listed it again, and requests were lost at its exit.
    Examples: a target departs before its heartbeats arrive
      | case                                                  | messages                     | seconds | usable | draining |
      | its first heartbeat is late                           | -a@15 a:1:10:1               | 0       |        |          |
      | several are late                                      | -a@15 a:1:10:1 +9 a:1:10:2   | 0       |        |          |
      | it departs twice                                      | -a@15 -a@16 a:1:10:1         | 0       |        |          |
      | its clock is ahead                                    | -a@15 a:1:15:1               | 0       |        |          |
      | a later incarnation                                   | -a@15 a:1:16:1               | 0       | a      |          |
      | a later incarnation after a late heartbeat            | -a@15 a:1:10:1 a:1:17:1      | 0       | a      |          |
      | an incarnation that started when it left, in the end  | -a@15 +15 a:1:15:1           | 0       | a      |          |
      | an earlier incarnation is known                       | a:1:5:1 -a@15 a:1:10:1       | 8       |        | a        |
      | a later incarnation than the one that is known        | a:1:5:1 -a@15 a:1:20:1       | 0       | a      |          |
      | a later incarnation is known to this instance         | a:1:20:1 --a@15              | 0       | a      |          |
      | an earlier incarnation is known to this instance      | a:1:10:1 --a@15              | 8       |        | a        |
      | another target has its address                        | -a@15 b:1:10:1 a:1:10:1      | 0       | b      |          |

    # Guards against entries that take the place of a sound target for as long as it lives.
    Examples: another writer uses the id or the address of a target ("@x": of a service that does not exist)
      | case                                                  | messages                             | seconds | usable | draining |
      | under its id, of no service                           | a:1:10:1 a:1:10:2@x                  | 0       | a      |          |
      | under its id, of no service, at another address       | a:1:10:1 a:9:99:1@x a:1:10:2 a:1:10:3 | 2       | a      |          |
      | under its id, of another service                      | a:1:10:1 a:1:10:2@other a:1:10:3     | 2       | a      |          |
      | under its id, with a sequence far ahead               | a:1:10:1 a:1:10:9000000000000d a:1:10:2 | 2       | a      |          |
      | at its address, of no service                         | a:1:10:1 b:1:99:1@x a:1:10:2         | 2       | a      |          |
      | under its id, of no service, after it is lost         | a:1:10:1 b:2:10:1 b:2:10:2 b:2:10:3 a:1:20:1@x | 0 | a b |        |
      | a new life of another service                         | a:1:10:1 a:1:20:1@other              | 0       | a      |          |

  Scenario Outline: of a heartbeat that <case> it <says> that routes may change
    Given a registry that has received "a:1:10:1 b:2:20:1", one message a second
    Then before "<heartbeat>" after <seconds> s more it <says> that routes may change

    Examples:
      | case                               | heartbeat | seconds | says          |
      | repeats what is known              | b:2:20:2  | 1       | does not say  |
      | comes from an unknown target       | c:3:30:1  | 1       | says          |
      | begins a drain                     | b:2:20:2d | 1       | says          |
      | comes from a new incarnation       | b:2:30:1  | 1       | says          |
      | comes from another address         | b:9:20:2  | 1       | says          |
      | comes after a silence              | b:2:20:2  | 4       | says          |

  Scenario: A thousand targets that only repeat themselves cost the leader no new routes
    Given a registry of 1000 targets that has derived its routes
    When each of them sends 3 heartbeats that repeat what is known
    Then no heartbeat says that routes may change

  Scenario Outline: a target that misses its probe <case>
    Given a registry that has received "a:1:10:1", one message a second
    When a probe sent <asked> s later is not answered and the target then reports "<later>"
    Then after 0 s more the usable targets are "<usable>" and the draining ones ""

    Examples:
      | case                            | asked | later    | usable |
      | is lost immediately             | 0.5   |          |        |
      | is back with its next heartbeat | 0.5   | a:1:10:2 | a      |

  Scenario Outline: <case>: the last probe says "<verdict>"
    Given a registry that has received "a:1:10:1", one message a second
    When the target a has "<history>" s later
    Then the last probe says "<verdict>", and a further one is due after <due> s

    Examples: a target that accepts connections is lost only if it is silent for long
      | case                                    | history                               | verdict     | due |
      | a silent target                         | silent:0.5                            | silent      | 1.7 |
      | a target that is silent for a second    | silent:0.5 silent:0.9 silent:1.6      | silent      | 1.7 |
      | a mute target                           | silent:0.5 silent:0.9 silent:1.9      | lost        |     |
      | it has answered another probe           | silent:0.5 answered:0.9 silent:1.9    | silent      | 3.1 |
      | it has sent a heartbeat                 | silent:0.5 heartbeat:0.9 silent:1.9   | silent      | 3.1 |
      | it has been seen at work                | silent:0.5 seen:0.9 silent:1.9        | silent      | 3.1 |
      | it was seen at work before              | silent:0.5 seen:0.4 silent:1.9        | lost        |     |
      | another term has begun                  | silent:0.5 term:0.9 silent:1.9        | silent      | 3.1 |
      | it answers at last                      | silent:0.5 answered:1.9               | sound       |     |
      | a heartbeat arrives during the probe    | heartbeat:0.6 silent:0.5              | heard again |     |

    Examples: a target that does not is lost immediately
      | case                                    | history                               | verdict     | due |
      | no connection                           | unreachable:0.5                       | lost        |     |
      | another instance at its address         | refused:0.5                           | lost        |     |
      | it ends while it is silent              | silent:0.5 unreachable:0.9            | lost        |     |
      | it is back already                      | heartbeat:0.6 unreachable:0.5         | heard again |     |

  Scenario Outline: a control instance becomes the leader <gap> s after the last heartbeat that reached it
    Given a registry that has received "a:1:10:1", one message a second
    When the control instance becomes the leader <gap> s later
    Then after <seconds> s more the usable targets are "<usable>" and the draining ones ""

    Examples: heartbeats that are missing because the old leader was partitioned do not make a target lost
      | gap | seconds | usable |
      | 0   | 2       | a      |
      | 5   | 0       | a      |
      | 5   | 2       | a      |
      | 5   | 3       |        |
      | 20  | 0       |        |

  Scenario Outline: <messages>, and <gap> s later the control instance becomes the leader
    Given a registry that has received "<messages>", one message a second
    When the control instance becomes the leader <gap> s later
    Then after <seconds> s more the usable targets are "<usable>" and the draining ones ""

    Examples: a target that was unresponsive before the old leader was lost stays lost
      | messages                                     | gap | seconds | usable |
      | a:1:10:1 b:2:20:1 b:2:20:2 b:2:20:3 b:2:20:4 | 1   | 0       | b      |
      | a:1:10:1 b:2:20:1 b:2:20:2 b:2:20:3          | 5   | 0       | b      |
      | a:1:10:1 b:2:20:1 b:2:20:2                   | 5   | 0       | a b    |
      | a:1:10:1 b:2:20:1 b:2:20:2                   | 5   | 1       | b      |
