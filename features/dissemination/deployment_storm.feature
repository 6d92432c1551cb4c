Feature: A storm of deployment documents reaches every gateway without the documents travelling whole

  The operator's document holds all routes, and documents follow each other several times a second.

  Scenario Outline: <versions> documents in <seconds> s, each with <changed> changed of <routes> routes
    Given a leader with <gateways> gateways and a deployment of <routes> routes
    When <versions> documents with <changed> changed routes each are committed within <seconds> s
    Then each gateway applies the newest document
    And the grants to a gateway after the first took less than <percent>% of a document

    Examples:
      | gateways | routes | versions | changed | seconds | percent |
      | 47       | 1500   | 24       | 1       | 2       | 10      |
      | 47       | 1500   | 24       | 30      | 2       | 50      |

  Scenario: A gateway that joins or falls far behind gets the whole document, compressed
    Given a leader with 1 gateway and a deployment of 1500 routes
    When 40 documents with 1 changed route each are committed while the gateway is silent
    Then each gateway applies the newest document
    And a document took less than 25% of its plain form

  Scenario Outline: Random histories of documents, with changes lost, repeated and out of order
    When <histories> histories of 20 documents run from seed <seed>
    Then each node's deployment was always one that was published, and in the end the newest

    Examples:
      | histories | seed |
      | 60        | 1    |

  Scenario Outline: A damaged change (<damage>) leaves the node with the deployment that it has
    Given a node that applies a deployment
    When it receives a grant whose change is <damage>
    Then it still applies that deployment and answers the next grant

    Examples:
      | damage                 |
      | no MessagePack         |
      | cut off                |
      | of another base        |
      | a bomb of 64 MiB       |

  Scenario Outline: A command of the log with <routes> routes, written <written>
    Given a command that publishes a deployment of <routes> routes
    When it is written <written>
    Then it takes <size> and reads back as the same command

    Examples: logs of earlier versions are not compressed
      | routes | written            | size                     |
      | 1      | by this version    | its plain form           |
      | 1500   | by this version    | less than 25% of its plain form |
      | 1500   | without compression | its plain form          |

  Scenario Outline: A node that was told of <announced> and has <applied>, after <age> s of <bound> s
    Given the deployments <announced> announced 0.2 s apart while 4 is in force
    When the node applies <applied>
    Then <age> s after the first announcement the missing deployment is <state>

    Examples:
      | announced | applied | age | bound | state       |
      | 5         | 4       | 0.9 | 1.0   | not overdue |
      | 5         | 4       | 1.1 | 1.0   | overdue     |
      | 5         | 5       | 9.0 | 1.0   | not overdue |
      | 5 6 7     | 6       | 1.3 | 1.0   | not overdue |
      | 5 6 7     | 6       | 1.5 | 1.0   | overdue     |
      | 5 6 7     | 7       | 9.0 | 1.0   | not overdue |
      | 3         | 4       | 9.0 | 1.0   | not overdue |
