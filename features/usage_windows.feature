Feature: Usage windows are reported once, whoever reports

  Scenario Outline: Two reporters and a store that <trouble>
    Then over <count> seeded histories no window has two figures and no fence goes back

    Examples:
      | trouble                         | count |
      | works                           | 60    |
      | loses answers                   | 60    |
      | is down at times                | 60    |
      | fails while holders freeze      | 60    |

  Scenario: All counts of live nodes are in a report
    Given 3 nodes that count requests in a window
    Then the report of that window holds all of them

  Scenario: A node that is gone delays a report, not past its due time
    Given 3 nodes that count requests in a window
    When one of them never seals the next window
    Then that window is reported without it before it is due

  Scenario: A node that stops hands its duties over at once
    Given a duty keeper that holds the lease and reads no store for others
    When its node begins to stop
    Then another node acquires the lease at its next look
    And when it has stopped its counts are written and sealed

  Scenario: A holder goes on after an outage that nobody used
    Given 3 nodes that count requests in a window
    When the store is away for 5 s and back while the holder is alive
    Then the holder acts again within 1 s of its return under the same fence

  Scenario: A new holder sends the frozen figures again
    Given 3 nodes that count requests in a window
    When the holder dies between freezing and sending
    Then its successor sends the same figures under a higher fence

  Scenario: Two holders never act in turn within the lease's time
    Then over 80 seeded histories of 3 nodes no two acts of one holder surround another's within the lease's time
