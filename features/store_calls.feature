Feature: Nodes make no calls to the platform's store that decide nothing

  # Answers the load of reports that change all the time, as all nodes answer
  # requests with a part under which servers crashed. Each write of a relay ended
  # the long polls of all relays.
  Scenario: Reports on crashes that change at all nodes
    Given 86 nodes in 6 failure domains that have started
    When requests that share parts are answered for 20 s while servers crash
    Then the relays have read the reports at most 170 times
    And each crash was known to all nodes within 5 s

  # Answers the load of an outage of the store, in which each node behind a relay
  # tried again and again although its relay does so for it.
  Scenario Outline: The store <fault> all calls for 4.5 s
    Given 86 nodes in 6 failure domains that have started
    When the store <fault> the calls of all nodes for 4.5 s
    And the operator writes version 2 as the store is back, 4 s before the end
    Then all nodes that are not turned away have version 2 within 4 s
    And the nodes have tried to read the servers at most <limit> times

    Examples:
      | fault          | limit |
      | refuses        | 300   |
      | doesn't answer | 250   |

  # Guards against a node that waits for its relay, as that node alone can reach
  # the store.
  Scenario: The store refuses the relay and the fallback nodes of a failure domain
    Given 86 nodes in 6 failure domains that have started
    When the store refuses the calls of the first 3 nodes of a failure domain for 5 s
    And the operator writes version 2 meanwhile, 4 s before the end
    Then all nodes that are not turned away have version 2 within 4 s

  # Answers the load of a deployment that has lost power: nodes took their relay
  # for lost as it started 0.1 s after them, and read the store for 5 s.
  Scenario: All nodes lose power and start again within 0.5 s
    Given 86 nodes in 6 failure domains that have started
    When all of them lose power and start again within 0.5 s
    Then each has the configuration and the servers within 1 s of its start
    And each knows its relay within 3 s of its start
    And within 7 s they have read the tables for relays at most 170 times

  # Guards against a row that each node writes again at each start.
  Scenario: Nodes that start again write no row of their own
    Given 86 nodes in 6 failure domains that have started
    When all of them lose power and start again within 0.5 s
    Then they have written no row in table nodes
    When 3 of them start again at another address
    Then they have written 3 rows in table nodes

  # Answers the load of a quiet day: each node behind a relay looked at the lease
  # once in 30 s, as many calls as the relays make to take it over in time.
  Scenario: Nodes behind relays leave the lease to these
    Given 86 nodes in 6 failure domains that have started
    When 40 s pass
    Then the nodes have read the lease at most 110 times
    And the nodes behind relays have not read it
    And each usage window that has ended has been reported in time

  # Guards against a former holder that goes on to read the lease each second.
  Scenario: A holder that was replaced leaves the lease to its successor
    Given 86 nodes in 6 failure domains that have started
    When 5 s pass
    And the store refuses the calls of the holder for 9 s
    And 20 s pass
    Then it has read the lease at most 16 times since
    And each usage window that has ended has been reported in time

  # Answers the load of a window's end, when nodes send their last counts one
  # after the other, and relays wrote them in two calls.
  Scenario: The counts of an ended window are written together
    Given 14 nodes that send their last counts of a window within 1 s of its end
    When their relay looks once a second for what to write, at 10 phases
    Then it writes the ended window in one call
    And it has written all counts before the window is summed

  # Answers the load of a start, in which the holder read twice a second for each
  # service whether the first number of its servers was recorded.
  Scenario: The first number of servers is read once until it is recorded
    Given a holder of the lease and 5 services whose servers start within 6 s
    When 12 s pass for the holder
    Then it has read the first numbers 5 times and recorded them once each
    And a holder that follows it orders by the recorded numbers
