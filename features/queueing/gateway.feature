Feature: A gateway lets the requests of ranked services wait at the owner, and no others

  Guards against priorities that have no effect, against callers that are held beyond their objective or
  after they have left, and against a change of what services without ranks get. The gateway and the
  owner run their own code; one target has 4 slots and answers a request when the test says so. Its
  requests are NAME:ROUTE, with a key where an account sends them.

  Scenario Outline: <case>
    Given a gateway, an owner and a target that is full, with <ranks>
    When the requests "<requests>" arrive one after the other and <event>
    Then <outcome> at the gateway

    Examples: ranks in force
      | case                                              | ranks                       | requests                    | event                              | outcome |
      | the most urgent request gets the first free place | routes of ranks 0 and 2     | a:less b:less c:urgent      | one answer ends                    | c is answered first |
      | equals go in the order in which they are due      | routes of ranks 0 and 2     | a:urgent b:urgent           | one answer ends                    | a is answered first |
      | an account's rank precedes that of its route      | routes of ranks 0 and 2     | a:urgent:low b:less:high    | one answer ends                    | b is answered first |
      | a request that cannot be in time is refused       | routes of ranks 0 and 2     | a:less                      | no answer ends                     | a is refused by its rank within 1.5 s |
      | a caller that leaves leaves the queue             | routes of ranks 0 and 2     | a:urgent b:urgent           | the callers leave                  | no request waits after 0.2 s |
      | a grant after the caller has left is given back   | routes of ranks 0 and 2     | a:urgent                    | the callers leave as an answer ends | no place is counted beyond the answers that run |

    Examples: no ranks
      | case                                    | ranks                     | requests  | event           | outcome |
      | without ranks nothing waits             | routes of one rank        | a:less    | no answer ends  | a is refused at once, without terms |
      | a service of its own has no ranks       | routes of two services    | a:less    | no answer ends  | a is refused at once, without terms |
      | without the setting nothing waits       | routes of ranks 0 and 2 and without the setting | a:less | no answer ends | a is refused at once, without terms |
