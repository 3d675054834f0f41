Feature: Keys and client accounts

  Scenario: No backend server, log, metric or row holds a key
    Given a cluster of 2 domains with 1 node each
    When the caller sends requests of every kind, with failures among them
    Then no backend server, log, metric, table row or object holds the key

  Scenario: A request runs only for the client account of its key
    Given a cluster of 2 domains with 1 node each
    When two accounts call the service "catalogue", one naming the other
    Then the service has seen each call under the account of its key

  Scenario: A withdrawn key stops working on every node, also in running streams
    Given a cluster of 2 domains with 2 nodes each
    And every engine takes 0.05 seconds for a token
    When callers stream 400 tokens through every node and keep idle connections
    And the key is withdrawn through node "oviedo-2"
    Then within 7 seconds every stream ends with "key_not_valid"
    And every node refuses the key on new and on open connections
    And the engines stop generating

  Scenario: Grants and withdrawals race through two nodes (seed 7)
    Given a cluster of 2 domains with 2 nodes each
    When 16 keys are granted and every second one withdrawn through two nodes
    Then valid keys work and withdrawn keys are refused on every node

  Scenario Outline: A domain that cannot receive withdrawals: <cut>
    Given a proxied cluster of 3 domains with 1 node each
    When domain "bilbao" is cut from <cut>
    Then node "bilbao-1" answers its caller at first
    And after the limit node "bilbao-1" answers with <later>
    When all cuts are mended
    Then node "bilbao-1" answers its caller again

    Examples:
      | cut                        | later          |
      | the platform and all peers | error isolated |
      | the platform               | an answer      |
      | all peers                  | an answer      |

  Scenario: Keys keep working while the platform is down for all domains
    Given a proxied cluster of 3 domains with 1 node each
    When the platform's table is down
    Then after the limit node "bilbao-1" answers with an answer
