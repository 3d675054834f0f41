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
