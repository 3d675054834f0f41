Feature: Tiers, fairness and starvation

  Scenario: The scheduler keeps its invariants over random runs
    When the scheduler executes 300 random runs of 200 steps
    Then no higher tier was ever shed or preempted for a lower one
    And no lower tier was granted a slot that a higher one could use, but for its guaranteed share
    And no server ever had more requests than slots
    And every queue stayed within its bound

  Scenario: No tier starves
    When tier 0 requests twice the capacity for 60 seconds and tier 4 sends one request
    Then the request of tier 4 was granted within 20 seconds
    And tier 0 got at least 90 of 100 grants

  Scenario: An account with much traffic does not starve one with little
    When one account sends 20 times as many requests as another at twice the capacity
    Then all requests of the small account were granted

  Scenario: An account accumulates no credit while idle
    When an account returns after it was idle while another was served
    Then the two get equal shares from then on

  Scenario: Isolated requests do not block each other
    When 12 isolated requests wait for one server that others use
    Then all of them run in turn, each alone until its probation is over

  Scenario: A server that failed with many requests is probed with backoff
    When a server fails while it runs 12 requests
    Then it is probed after 1 second, with a longer delay after each failed probe

  Scenario: Cheap servers are used only while the paid ones could take over
    When reserved requests with a target of 0.5 seconds fill 4 paid and 8 cheap slots
    Then at most 2 of them run on cheap servers, whatever order they came in
    And requests that are always cheap fill the rest

  Scenario: High tiers are served during an overload, end to end
    Given a cluster of 1 domains with 2 nodes and engines
      | name     | domain    | slots | token_interval_s |
      | engine-1 | santander | 4     | 0.02             |
    When tier 3 floods the engine while tier 0 sends occasional requests
    Then every request of tier 0 is answered and none was refused
    And some requests of tier 3 are answered too
    And every refusal that says "not run" is true
