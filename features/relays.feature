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

  # Guards against requests to a server whose entry was removed: a node whose
  # calls alone the store had rejected took the removal for a lapse.
  Scenario: A server that leaves after an outage of its nodes alone is not used any more
    Given a relay that has read 600 servers
    And a node that has the relay's content
    When the store rejects the calls of both for 9 s while another node reads it
    And the relay reads 1 s later that the entry of one server is gone
    And the node polls the relay
    Then the relay uses 599 servers
    And the node uses 599 servers

  # Guards against a grace period that starts anew with each reading.
  Scenario: The time to restore an entry counts from the end of the outage
    Given a relay that has read 600 servers
    When the store is back after 9 s and the relay reads 1.5 s later that the entry of one server is gone
    Then the relay uses 600 servers 1.9 s after the outage
    And the relay uses 599 servers 2.1 s after the outage

  Scenario: A reply that waits for the event loop does not look newer than it is
    Given a relay that has read 600 servers
    And a node that has the relay's content
    When a reply waits 3 s for the node's event loop while a server leaves
    And the node polls the relay
    Then the node uses 599 servers

  # Guards against ages that leave out the time for which a machine was
  # suspended, so that lists from before seem new.
  Scenario: A list that waited while the node was suspended does not look newer than it is
    Given a node that reads the servers' entries from a store
    When the node is suspended for 2 s during the call
    Then its list of servers is at least 2 s old

  Scenario: A reply that waited while the node was suspended does not look newer than it is
    Given a relay that has read 600 servers
    When a node is suspended for 2 s during its poll of the relay
    Then its list of servers is at least 2 s old

  Scenario: A relay that was suspended does not pass on its list as new
    Given a relay that has read 600 servers
    And a node that has the relay's content
    When the relay is suspended for 5 s while a server leaves, of which the node reads
    And the node polls the relay, whose steady clock stood still meanwhile
    Then the node uses 599 servers

  # Guards against callers that wait for the next poll and the next reading.
  Scenario: A request that needs a newer list of servers has it soon
    Given a stand-in of the users' store
    When 3 nodes of one failure domain start together
    Then each of 10 requests at each node has a newer list within 0.6 s

  # Guards against a thread that ends as the pauses between polls double.
  Scenario: Polls slow down while no newer list of servers comes
    Given a node whose requests wait for a newer list of servers
    Then all but 4 of its next 2000 polls come at the usual interval

  # Guards against lists without a server, or with one that has left, that count
  # as confirmed: the node's own reading began before what the relay told, and
  # ended between its next poll and the reply.
  Scenario Outline: An own reading that ends late does not count as what the relay has as a server <changes>
    Given a relay and a node that have the same servers
    And an own reading of the node that began then
    When a server <changes> and the relay tells the node
    And the own reading ends between the node's next poll and its reply
    And the node polls the relay
    Then the node has the relay's content

    Examples:
      | changes |
      | joins   |
      | leaves  |

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

  # Guards against a configuration that is late as the link of a relay is full.
  Scenario: A configuration of 1,200 routes reaches all nodes of a relay in time
    Given a relay that has read a configuration of 1200 routes
    Then over a link of 10 Mbit/s all nodes of the relay have it within 4 s
    And a node that has it from another relay gets it at no cost

  # Guards against waits behind a relay that add up to more than the bound.
  Scenario: A node whose peers stop to answer reads a new configuration in time
    Given a stand-in of the users' store
    And 5 nodes that rank behind 9 peers and poll them
    When the peers stop to answer and the operator writes version 9
    Then the nodes have version 9 in force within 4 s
