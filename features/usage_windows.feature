Feature: Usage windows are reported once, whichever node reports

  Scenario Outline: Two reporters and a store that <condition>
    Then over <count> seeded runs no window has two sets of figures and no fencing number decreases

    Examples:
      | condition                       | count |
      | works                           | 60    |
      | loses answers                   | 60    |
      | is down at times                | 60    |
      | fails while holders freeze      | 60    |

  Scenario: All counts of live nodes are in a report
    Given 3 nodes that count requests in a window
    Then the report of that window holds all of them

  Scenario: A failed node delays a report, but not past its due time
    Given 3 nodes that count requests in a window
    When one of them never seals the next window
    Then that window is reported without it before it is due

  Scenario: A stopping node releases its duties without delay
    Given a duty runner that holds the lease and relays the store to no other node
    When its node begins to stop
    Then another node acquires the lease at its next check
    And when it has stopped its counts are written and sealed

  Scenario: A holder resumes after an outage in which no other node took over
    Given 3 nodes that count requests in a window
    When the store is unreachable for 5 s while the holder is running
    Then the holder acts again within 1 s of the recovery under the same fencing number

  Scenario: A new holder sends the frozen figures again
    Given 3 nodes that count requests in a window
    When the holder fails between freezing and sending the figures
    Then its successor sends the same figures under a higher fencing number

  Scenario: Two holders never alternate within the lease's time to live
    Then over 80 seeded runs of 3 nodes no holder acts before and after another one within the lease's time to live

  Scenario: The duties resume soon after all nodes have lost power
    Given 3 nodes that count requests in a window
    When the holder ends and all nodes start again
    Then a node holds the lease within 5 s and not before 3.5 s
