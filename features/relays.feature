Feature: Relays pass on changes of the store's content to many nodes

  Scenario: A node has what its relay has after any series of changes and polls
    Then over 200 seeded series of changes, lost replies, restarts of the relay and own readings the node has the relay's content

  Scenario: A heartbeat of 600 servers costs a poll nothing, a change one entry
    Given a relay that has read 600 servers
    When all servers report a heartbeat
    Then a poll for the changes is under 500 bytes
    When one server reports that it drains
    Then a poll for the changes is under 1500 bytes

  Scenario Outline: A peer that <knows> gets the whole content
    Given a relay that has read 600 servers
    When one server reports that it drains
    Then a peer that <knows> gets the whole content

    Examples:
      | knows                                 |
      | knows no revision                     |
      | knows the revision of another process |
      | knows a revision that is not retained |
      | does not accept changes               |

  Scenario: Entries that lapsed in an outage stay in use behind a relay too
    Given a relay that has read 600 servers
    And a node that has the relay's content
    When the store is back from an outage without the entries of the servers
    And the node polls the relay
    Then the node still uses 600 servers
    And it uses none after the time to restore them

  Scenario: A reply that waits for the event loop does not look newer than it is
    Given a relay that has read 600 servers
    And a node that has the relay's content
    When a reply waits 3 s for the node's event loop while a server leaves
    And the node polls the relay
    Then the node uses 599 servers

  Scenario: Nodes that start together find their relay before they read the store
    Given a stand-in of the users' store
    When 12 nodes of one failure domain start together
    Then one of them reads the servers from the store

  Scenario Outline: A node whose deployment <starts> and whose relay has not read the store
    Given a relay that has not read the store
    When a node of a deployment that <starts> polls it once
    Then the node <reads> the store itself

    Examples:
      | starts                     | reads         |
      | starts for the first time  | does not read |
      | was in use before          | reads         |

  Scenario: While the store is away, only one follower of a node tries to reach it
    Given a node behind a relay, both turned away by the store
    Then the node makes at most 8 calls to the store in 5 s
    When the store accepts calls again
    Then the node has the configuration and the servers

  Scenario: A relay that does not know the nodes yet does not make a node forget them
    Given a node that has read 12 nodes
    When a relay answers with 0 nodes, then with 13
    Then the node knows 12 nodes, then 13

  # Guards against a request that is refused after two crashes, as its node
  # counts both again when its relay returns them.
  Scenario: A node does not count its own crashes again that its relay returns
    Given a relay that has read 600 servers
    And a node that has the relay's content
    When the node reports 2 crashes of a request and polls the relay
    Then the node accepts the request until it has crashed a third server
