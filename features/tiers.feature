Feature: Tiers, fairness and waiting

  Scenario: The scheduler keeps its promises over random histories
    When the scheduler runs through 300 random histories of 200 steps
    Then no higher tier was ever shed or preempted for a lower one
    And no lower tier was granted a slot that a higher one could use, but for its guaranteed share
    And no server ever had more requests than slots
    And every queue stayed within its bound

  Scenario: No class waits forever
    When tier 0 asks for twice the capacity for 60 seconds and tier 4 asks once
    Then the request of tier 4 was granted within 20 seconds
    And tier 0 got at least 90 of 100 grants

  Scenario: An account with much traffic does not starve one with little
    When one account asks 20 times as often as another at twice the capacity
    Then the small account got all that it asked for

  Scenario: A returning account banks no credit
    When an account returns after it was idle while another was served
    Then the two get equal shares from then on

  Scenario: Suspects that must run alone do not block each other
    When 12 isolated requests wait for one server that others use
    Then all of them run in turn, each alone until its probation is over

  Scenario: A server that died under many requests is soon tried again
    When a server dies under 12 requests
    Then it gets a probe after 1 second, and after each failed probe later

  Scenario: Cheap servers are used only while the paid ones could take over
    When reserved requests with a target of 0.5 seconds fill 4 paid and 8 cheap slots
    Then at most 2 of them run on cheap servers, whatever order they came in
    And requests that are always cheap fill the rest

  Scenario: High tiers come through an overload end to end
    Given a cluster of 1 domains with 2 nodes and engines
      | name     | domain    | slots | token_interval_s |
      | engine-1 | santander | 4     | 0.02             |
    When tier 3 floods the engine while tier 0 asks now and then
    Then every request of tier 0 is answered and none was refused
    And some requests of tier 3 are answered too
    And every refusal that says "not run" is true
