Feature: Faults at once

  Scenario: A burst, a slow engine, a zone reclaim and a table outage together (seed 23)
    Given a proxied cluster of 2 domains with 2 nodes and engines
      | name     | domain    | slots | token_interval_s | cheap |
      | paid-1   | santander | 8     | 0.01             | no    |
      | cheap-1  | santander | 8     | 0.01             | yes   |
      | cheap-2  | santander | 8     | 0.01             | yes   |
      | paid-2   | oviedo    | 8     | 0.01             | no    |
      | cheap-3  | oviedo    | 8     | 0.01             | yes   |
    When traffic of three accounts and bookings run through all faults at once
    Then every finished answer equals the engine's own
    And no request of tier 0 was refused or cut
    And every refusal that says "not run" is true
    And no booking ran twice and every answered one ran once
    And the withdrawn key was refused within 7 seconds and on every node
    And the reports hold each account's answered requests and tokens
    And no window was reported with different figures
    And no backend server has seen any of the keys
