Feature: Complete answers
  A caller receives the complete answer to its own request. Seed 5.

  Scenario Outline: Streams survive a fault: <fault>
    Given a proxied cluster of 1 domains with 2 nodes and engines
      | name     | domain    | slots | token_interval_s |
      | engine-1 | santander | 16    | 0.01             |
      | engine-2 | santander | 16    | 0.01             |
    When 24 requests run and engine "engine-1" has the fault: <fault>
    Then every answer equals the engine's own

    Examples:
      | fault                                  |
      | a crash                                |
      | a cut of one stream                    |
      | a cut of its path                      |
      | a frozen path                          |
      | a half-open path                       |
      | a slow path                            |
      | a stall                                |
      | duplicates after a resumption          |
      | a cut without resumption               |
      | slowness                               |

  Scenario: 200 concurrent streams are not mixed up
    Given a cluster of 2 domains with 2 nodes and engines
      | name     | domain    | slots |
      | engine-1 | santander | 64    |
      | engine-2 | oviedo    | 64    |
    When 200 requests run concurrently over all nodes
    Then every answer equals the engine's own

  Scenario: A request that crashes engines is quarantined after two crashes
    Given a cluster of 1 domains with 2 nodes and engines
      | name     | domain    | slots | token_interval_s | restart_s |
      | engine-1 | santander | 8     | 0.01             | 0.5       |
      | engine-2 | santander | 8     | 0.01             | 0.5       |
      | engine-3 | santander | 8     | 0.01             | 0.5       |
    When other requests run while a poisoned one is sent through both entries
    Then the engines have crashed at most 2 times
    And the poisoned request is refused as "quarantined" by every entry
    And every answer equals the engine's own
