Feature: A request is routed by its host and the longest matching path prefix

  Scenario Outline: <host> <path>
    Given routes at "h/a/=one h/a/b/=two h/=root other/x/=three"
    Then a request for host "<host>" and path "<path>" matches route "<route>"

    Examples:
      | host  | path       | route |
      | h     | /a/b/c     | two   |
      | h     | /a/b/      | two   |
      | h     | /a/b       | one   |
      | h     | /a/bc/d    | one   |
      | h     | /a         | root  |
      | h     | /          | root  |
      | other | /x/1       | three |
      | other | /y         | none  |
      | none  | /a/b/c     | none  |

  Scenario Outline: a document with <fault> is refused
    Given a deployment document with <fault>
    Then it is refused with "<finding>"

    Examples:
      | fault                             | finding         |
      | nothing wrong                     |                 |
      | a route to an unknown service     | deployment.E001 |
      | two routes of one host and prefix | deployment.E002 |
      | a route whose weights add up to 0 | deployment.E003 |
      | a route without a timeout         | deployment.E004 |
      | a key that two accounts share     | deployment.E005 |
      | no number                         | deployment.E006 |
      | a prefix without slashes          | deployment.E007 |
      | a service that is defined twice   | deployment.E008 |
