Feature: Bad input gets a typed error and the node goes on

  Scenario Outline: <surface> takes anything
    Then <surface> gives a typed error or a result for <count> inputs

    Examples:
      | surface          | count |
      | a model body     | 400   |
      | a message frame  | 400   |
      | a settings file  | 300   |
      | a declaration    | 300   |
      | the scheduler    | 200   |

  Scenario: A node goes on under hostile HTTP
    Given a cluster of 1 domains with 1 node each
    When 150 hostile HTTP requests are sent (seed 31)
    Then the node still answers its caller

  Scenario: A node goes on under hostile messages
    Given a cluster of 1 domains with 2 nodes each
    When 600 hostile messages are sent to a node (seed 37)
    Then the node still answers its caller
    And the nodes still know each other

  Scenario Outline: An engine that sends nonsense: <nonsense>
    Given a cluster of 1 domains with 1 node each
    When the engines are replaced by one that answers with <nonsense>
    Then the caller gets a typed error and the node goes on

    Examples:
      | nonsense            |
      | events without JSON |
      | events of numbers   |
      | wrong types         |
      | binary              |
      | an HTML page        |
      | no end              |
      | an empty body       |
      | status 500          |
      | a huge event        |
