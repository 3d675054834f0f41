Feature: Large configurations reach nodes behind narrow links in time

  # Guards against a configuration that is late as the store sends a node that
  # loses its relay each version since its own last reading, whole.
  Scenario: A node that loses its relay reads each table once
    Given a store with 600 servers and a configuration of 1200 routes
    And a node that has read both and follows a relay now
    When the relay delivers 6 newer configurations and 5 heartbeats of each server
    And the node reads the store itself
    Then the node has the newest configuration and 600 servers
    And the store has sent at most 1.5 times the size of both

  # Guards against reading everything again although nothing was replaced.
  Scenario: A node that lost its relay for a moment reads only what changed
    Given a store with 600 servers and a configuration of 1200 routes
    And a node that has read both and follows a relay now
    When the node reads the store itself
    Then the store has sent at most 0.1 times the size of both

  # Guards against a configuration that never arrives as its transfer takes
  # longer than the timeout of a poll, and begins anew with each poll.
  Scenario: A configuration reaches a node over a link slower than the poll's timeout
    Given a relay with a configuration of 1200 routes behind a link of 0.25 Mbit/s
    When 1 node that has no store polls it
    Then all nodes have the configuration within 4 s

  # Guards against polls of one relay that time out together.
  Scenario: A configuration reaches all nodes of a relay at the same time
    Given a relay with a configuration of 1200 routes behind a link of 10 Mbit/s
    When 48 nodes that have no store poll it
    Then all nodes have the configuration within 4 s

  # Guards against a node that waits for a peer that has stopped to send.
  Scenario: A peer that stops in the middle of a transfer is given up
    Given a relay with a configuration of 1200 routes behind a link of 0.25 Mbit/s
    And a node that fetches the configuration
    When the link stalls
    Then the node has given up the peer within 3 s

  # Guards against polls that wait behind the transfers of a node's link.
  Scenario: A node sends few configurations at the same time
    Given a relay that has read a configuration of 1200 routes
    When 3 nodes fetch it from the relay
    Then one of them is asked to come back
    And it gets the configuration after one transfer has ended

  Scenario: A small configuration comes with the poll
    Given a relay that has read a configuration of 10 routes
    Then the reply to a node that fetches large ones holds the configuration

  # Guards against a link that is filled by small changes of a large
  # configuration.
  Scenario Outline: <count> more routes cost a node that has 1900 little
    Given a relay that has read a configuration of 1900 routes
    When the operator adds <count> routes
    Then a node with the configuration before gets it from the relay for <size> bytes
    And a node with any other one gets all of it

    Examples:
      | count | size  |
      | 1     | 1000  |
      | 100   | 5000  |

  Scenario: A change leads to the configuration whatever both hold
    Then over 500 seeded pairs the change between them leads to the second

  Scenario Outline: A change with <what> is not applied
    Then a change with <what> is not applied

    Examples:
      | what                          |
      | a range outside of its source |
      | a negative range              |
      | a result that is too large    |

  # Guards against a configuration that is not fetched, or fetched again and
  # again although this node's is newer.
  Scenario Outline: A peer's configuration with <offered> is <fetched>
    Given a node with version 8 of the store's era 1
    Then a large configuration with <offered> is <fetched>

    Examples:
      | offered                                | fetched     |
      | version 9 of the same era              | fetched     |
      | version 7 of the same era              | not fetched |
      | version 8 of the same era, other text  | fetched     |
      | version 7 of a later era               | fetched     |
      | version 8 of the same era, same text   | not fetched |
      | version 9, confirmed 9 s ago           | not fetched |
