Feature: Leases, orders and reports

  Scenario Outline: Two processes never hold a lease at once: <case>
    When <count> processes contend for a lease over <seeds> seeds with <case>
    Then no two of them held the lease at the same time
    And each epoch had one holder

    Examples:
      | case                      | count | seeds |
      | pauses                    | 3     | 40    |
      | lost answers              | 3     | 40    |
      | outages                   | 3     | 40    |
      | everything at once        | 5     | 60    |

  Scenario: A released lease can be acquired at once
    When a holder releases its lease
    Then the next process acquires it at its first attempt

  Scenario Outline: A reporter is <interruption> at any step; fencing is <fencing>
    When a reporter is <interruption> at each of its steps and a successor takes over, with fencing <fencing>
    Then each window was reported with the same figures every time
    And the reported sums equal the recorded sums

    Examples:
      | interruption | fencing |
      | killed       | checked |
      | killed       | ignored |
      | frozen       | checked |
      | frozen       | ignored |

  Scenario Outline: A fleet controller is frozen at any step; the platform <fencing> fencing
    When a controller is frozen at each of its steps and a successor goes on; the platform <fencing> fencing
    Then no stale order was accepted, except <exception>
    And no accepted order conflicts with another

    Examples:
      | fencing | exception                                    |
      | checks  | none                                         |
      | ignores | a freeze between the last check and the send |

  Scenario Outline: A frozen fleet controller; the platform <fencing> fencing
    Given a cluster of 1 domains with 3 nodes and engines
      | name     | domain    | state   |
      | engine-1 | santander | running |
      | engine-2 | santander | stopped |
      | engine-3 | santander | stopped |
      | engine-4 | santander | stopped |
    And the platform <fencing> fencing numbers
    When more servers are ordered while the holder of the fleet lease is frozen and thawed
    Then every accepted order carried the newest epoch
    And all 4 engines were ordered to run once

    Examples:
      | fencing |
      | checks  |
      | ignores |

  Scenario: Orders survive lost answers and a slow platform
    Given a cluster of 1 domains with 2 nodes and engines
      | name     | domain    | state   |
      | engine-1 | santander | running |
      | engine-2 | santander | stopped |
      | engine-3 | santander | stopped |
    When answers of the ordering interface are lost while servers are ordered
    Then every accepted order carried the newest epoch
    And no server got conflicting orders

  Scenario: A server is stopped only when it runs nothing
    Given a cluster of 1 domains with 2 nodes and engines
      | name     | domain    | state   | token_interval_s |
      | engine-1 | santander | running | 0.02             |
      | engine-2 | santander | running | 0.02             |
    When idle servers are stopped while long streams run
    Then every answer equals the engine's own
    And one engine was ordered to stop, after its last request
