Feature: Declarations
  An accepted version is in force everywhere within seconds and never reverts.

  Scenario: When two operators change at once, one gets a conflict that names the other
    Given a cluster of 2 domains with 2 nodes each
    When "ana" and "ben" apply different declarations on the same version
    Then exactly one is accepted and the other's conflict names the first
    And the accepted declarations are in force on every node

  Scenario: An accepted change is in force on every node within 7 seconds
    Given a cluster of 3 domains with 2 nodes each
    When 10 changes are applied one after the other through different nodes
    Then each was in force on 6 of 6 nodes within 7 seconds

  Scenario: A domain that cannot confirm is named
    Given a proxied cluster of 3 domains with 1 node each
    When domain "bilbao" is cut from the platform and all peers
    And a change is applied through node "santander-1" waiting 3 seconds
    Then it is accepted with "bilbao" pending
    When all cuts are mended
    Then the accepted declarations are in force on every node

  Scenario Outline: No node reverts to an older version: <case>
    Given a proxied cluster of 2 domains with 2 nodes each
    When 3 changes are applied and then: <case>
    Then no node was ever seen with an older version in force
    And the accepted declarations are in force on every node

    Examples:
      | case                                          |
      | a node restarts                               |
      | a node restarts while the platform is down    |
      | all nodes restart                             |
      | a node reconnects after a cut                 |
      | an old change is replayed to a node           |
      | a snapshot is old                             |
      | a commit's answer is lost                     |

  Scenario: A new node boots from a snapshot and the changes after it
    Given a cluster of 1 domains with 2 nodes each
    When 230 changes are committed to the table service
    And a snapshot is written and a node is restarted
    Then the accepted declarations are in force on every node

  Scenario Outline: An invalid declaration changes nothing: <fault>
    Given a cluster of 1 domains with 1 node each
    When declarations with this fault are applied: <fault>
    Then the tool ends with status <status> and names <names>
    And the version in force has not changed

    Examples:
      | fault               | status | names                                                     |
      | unknown option      | 3      | E102, bad.ini, [profile chat], teir, Did you mean `tier`  |
      | wrong form          | 3      | E103, bad.ini, [profile chat], tier, a whole number       |
      | missing option      | 3      | E104, bad.ini, [profile chat], tier, Add `tier = ...`     |
      | negative time       | 3      | E105, bad.ini, [profile chat], max_wait_s, zero or more   |
      | unknown kind        | 3      | E302, bad.ini, [profil chat], Did you mean [profile NAME] |
      | unknown reference   | 3      | E304, bad.ini, [client_account x], profiles, Declare      |
      | section twice       | 3      | E101, bad.ini, [profile chat]                             |
      | keys in a file      | 3      | E305, bad.ini, [key 12], Use the commands                 |
      | every fault at once | 3      | E102, E103, E304                                          |
      | account with keys   | 5      | E304, [key, Declare [client_account workshop-laredo]      |
      | old version         | 4      | accepted after version, by ana, bilberryturn plan         |
