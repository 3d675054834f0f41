Feature: A stream goes on only at the software version that began it

  # Guards against an answer that is joined from two software versions.
  Scenario: A stream whose server ends goes on at a server of its version
    Given servers of versions v1, v2, v1 of which the first breaks streams off
    When a caller asks for a stream
    Then the answer is whole and all of it is from version v1

  Scenario: A stream breaks off if no other server has its version
    Given servers of versions v1, v2, v2 of which the first breaks streams off
    When a caller asks for a stream
    Then the answer is cut and all of it is from version v1

  Scenario: A stream that has not begun may begin at another version
    Given servers of versions v1, v2, v2 of which the first breaks answers off before any event
    When a caller asks for a stream
    Then the answer is whole and all of it is from version v2

  # Guards against memory that another software version goes on with.
  Scenario: A stream is moved only to an engine of its version
    Given servers of versions v1, v2 of engines that can be moved
    When a stream runs at version v1 and its engine is about to end
    Then the stream is not moved

  # Guards against a stream that another service of a split route goes on with.
  Scenario: A stream of a split route is taken up at the service that began it
    Given a route that is split between two services
    When 40 callers each begin a stream and take it up by its first request
    Then each stream has reached one service

  # Guards against streams that another version goes on with after their node,
  # or all nodes, have gone.
  Scenario Outline: A stream is taken up at <node> while two versions serve
    Given a store, a node and servers of versions v1, v2, v1, v2
    When 20 callers each have 2 events of a stream
    And they take their streams up at <node>
    Then each of them has a whole stream of one version

    Examples:
      | node                                              |
      | the same node                                     |
      | another node                                      |
      | a node that starts after all nodes have lost power |

  # Guards against streams of a new version that a node goes on with at the old
  # one, as it was cut off or stood still while the new servers joined.
  Scenario Outline: A stream of a new version is taken up at a node that <out of step>
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    When servers of versions v2, v2 join, of which the other node does not hear
    And 20 callers each have 2 events of a stream
    And they take their streams up at the other node, which <out of step>
    Then no stream has events of two versions
    And <refused> of them are refused

    Examples:
      | out of step                               | refused |
      | is cut off from the nodes and the store   | 20      |
      | is cut off from the nodes                 | some    |
      | stood still for 3 s                       | some    |
      | was suspended for 3 s                     | some    |
      | has heard of them again                   | none    |

  # Guards against streams that began before a release and are not recorded.
  Scenario: A stream that began before a release is taken up during it
    Given a store, a node and servers of versions v1, v1
    When 20 callers each have 2 events of a stream
    And servers of versions v2, v2 join
    And they take their streams up at a node that starts after all nodes have lost power
    Then each of them has a whole stream of one version

  # Guards against a stream that goes on at the new version after the old one
  # has left.
  Scenario: A stream is not taken up once the version that began it has left
    Given a store, a node and servers of versions v1, v1
    When 20 callers each have 2 events of a stream
    And servers of versions v2, v2 join
    And the servers of version v1 leave while no node runs
    And they take their streams up at a node that starts after all nodes have lost power
    Then all of them are refused with no_server_of_version
    And no server has been sent a request with the identifier of an event

  Scenario: A stream whose beginning no node and no row tells is not taken up
    Given a store, a node and servers of versions v1, v2
    When the store rejects all writes
    And 20 callers each have 2 events of a stream
    And they take their streams up at a node that starts after all nodes have lost power
    Then all of them are refused with unknown_origin
    And no server has been sent a request with the identifier of an event

  # Guards against a node that takes the versions that it sees for all that were.
  Scenario: A node refuses take-ups before it has read the reports
    Given a store, a node and servers of versions v1, v1
    When 3 callers each have 2 events of a stream
    And they take their streams up at a node that has not read the reports
    Then all of them are refused with unknown_origin

  # Guards against streams of a new version that go on at the old one at a node
  # whose list of servers is as new as those of nodes in order mostly are.
  Scenario Outline: A stream of a new version is taken up at a node whose list is <age> s old
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    When servers of versions v2, v2 join, of which the other node does not hear
    And 20 callers each have 2 events of a stream
    And the streams are taken up at the other node, whose list is <age> s old
    Then no stream has events of two versions

    Examples:
      | age |
      | 0   |
      | 1   |
      | 2   |

  Scenario: A stream of a new version goes on at a node that hears of it meanwhile
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    When servers of versions v2, v2 join, of which the other node does not hear
    And 20 callers each have 2 events of a stream
    And the streams are taken up at the other node, which hears of the servers 0.5 s later
    Then each of them has a whole stream of one version

  # Guards against a node that was cut off while a version came and left, and
  # takes the versions that serve by then for all that did.
  Scenario Outline: A stream of a version that came and left <when> is taken up
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    When servers of versions v2, v2 join, of which the other node does not hear
    And 20 callers each have 2 events of a stream
    And the streams are taken up at the other node, which learns after <when> that only v1 serves
    Then no stream has events of two versions

    Examples:
      | when                   |
      | a cut of 4 s           |
      | a restore of the store |

  # Guards against streams that another node goes on with at the version of an
  # attempt that ended without an event.
  Scenario: A stream is taken up just after its first attempt ended at another version
    Given a store, a node and servers of versions v1, v2
    And another node that knows them
    When callers begin streams until an attempt at v1 ends without an event once it is recorded
    And the streams are taken up at the other node
    Then no stream has events of two versions

  # Guards against a wait for the store that another attempt spares.
  Scenario: A stream begins at the version that is recorded if any server has it
    Given a store, a node and servers of versions v1, v1, v2, v2
    When callers begin streams until 6 attempts at v1 end without an event once they are recorded
    Then these streams have begun at version v1

  # Guards against a stream that begins at another version than the one that
  # other nodes read in the store.
  Scenario: A stream begins at no other version while its record can't be removed
    Given a store, a node and servers of versions v1, v2
    When callers begin streams until an attempt at v1 ends without an event once it is recorded, and the store rejects all writes from then on
    Then this stream has not begun

  # Guards against streams that are recorded at the version that their server
  # had before it started again.
  Scenario: A stream of a server that started again at another version is taken up
    Given a store, a node and servers of versions v1, v1
    When the first server starts again at version v2, of which the node does not hear
    And 20 callers each have 2 events of a stream
    And the node hears of it
    And they take their streams up at the same node
    Then no stream has events of two versions

  # Guards against streams that another service goes on with once a
  # configuration sends their route there.
  Scenario: A stream is taken up after its route has moved to another service
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    And a server of another service at version v2
    When 20 callers each have 2 events of a stream
    And the configuration moves the route to the other service
    And the streams are taken up at the other node
    Then no stream has events of two versions

  # Guards against a node that has only seen the configuration after the move.
  Scenario: A stream is taken up at a node that starts after its route has moved
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    And a server of another service at version v2
    When 20 callers each have 2 events of a stream
    And the configuration moves the route to the other service
    And the streams are taken up at a node that starts then
    Then no stream has events of two versions

  Scenario Outline: A configuration <changes>
    Given a route of h.example/a/ to service app
    When a configuration <changes>
    Then streams of the services <services> may have begun elsewhere

    Examples:
      | changes                                                     | services   |
      | sends h.example/a/ to other                                 | app, other |
      | sends h.example/a/ to app, other                            | app, other |
      | sends h.example/a/ to app and h.example/a/b/ to other       | app, other |
      | sends h.example/ to other                                   | app, other |
      | sends h.example/a/ to app                                   | none       |
      | sends h.example/a/ to app and h.example/c/ to other         | none       |
      | sends h.example/a/ to app and another.example/a/ to other   | none       |

  Scenario: A configuration sends what a shorter prefix matches elsewhere
    Given a route of h.example/a/ to service app
    When a configuration sends h.example/ to app and h.example/a/ to other
    Then streams of the services app, other may have begun elsewhere
    When a configuration sends h.example/ to app
    Then streams of the services app, other may have begun elsewhere

  # Guards against callers that wait for one another's lookups.
  Scenario: Many streams are taken up at a node whose store does not answer
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    When 60 callers each have 2 events of a stream
    And the store answers the other node after 0.5 s that it is away
    And the streams are taken up at the other node, whose list is 3 s old
    Then all of them are refused with unknown_origin
    And each of them within 2 s

  Scenario: A stream is taken up at a node whose records have stopped
    Given a store, a node and servers of versions v1, v1
    And another node that knows them
    When 20 callers each have 2 events of a stream
    And the other node's records stop
    And the streams are taken up at the other node, whose list is 3 s old
    Then all of them are refused with unknown_origin

  # Guards against nodes that refuse to go on with streams that they began.
  Scenario: A node that is cut off goes on with its own streams
    Given a store, a node and servers of versions v1, v1
    When 20 callers each have 2 events of a stream
    And the node has heard of nothing for 10 s
    And they take their streams up at the same node
    Then each of them has a whole stream of one version

  # Guards against refusals and store calls where nothing can be joined.
  Scenario: While one version serves, streams are taken up without the store
    Given a store, a node and servers of versions v1, v1
    When 20 callers each have 2 events of a stream
    And they take their streams up at another node
    Then each of them has a whole stream of one version
    And the store holds no stream, and none was looked up

  Scenario: Rows of streams are removed once they have ended
    Given a store, a node and servers of versions v1, v2
    When 20 callers each have 2 events of a stream
    And they take their streams up at another node
    Then the store holds no stream after the next write of each node

  # Guards against a belief in rows that a restore has lost.
  Scenario: Rows of streams are written again after a restore of the store
    Given a store, a node and servers of versions v1, v2
    When the store is restored from a copy after 20 callers each have 2 events
    Then the store holds 20 streams

  Scenario: Rows that killed nodes left are removed after the release
    Given a store, a node and servers of versions v1, v2
    When 20 callers each have 2 events of a stream
    Then the store holds 20 streams
    And it holds none once the holder of the lease has cleaned up

  # Guards against a node that takes two versions for one as it has just started.
  Scenario: Nodes know which versions served, whichever of them restart
    Then over 200 seeded series of releases, restarts and losses of all nodes no node with all reports takes two versions for one

  # Guards against a row of reports that the store refuses as too large.
  Scenario: Entries of other writers with many versions leave the reports small
    Given servers of a service at version v1
    When 500 entries with long names of versions and services come
    Then the reports are under 10000 bytes and name version v1

  Scenario: A peer that has not read the reports does not vouch for them
    Given a relay that has not read the reports
    When a node polls it, and again after the relay has read them
    Then the node knows all reports only after the second poll
