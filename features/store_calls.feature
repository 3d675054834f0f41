Feature: Nodes make no calls to the platform's store that decide nothing

  # Answers the load of reports that change all the time, as all nodes answer
  # requests with a part under which servers crashed. Each write of a relay ended
  # the long polls of all relays.
  Scenario: Reports on crashes that change at all nodes
    Given 86 nodes in 6 failure domains that have started
    When requests that share parts are answered for 20 s while servers crash
    Then the relays have read the reports at most 170 times
    And each crash was known to all nodes within 5 s
