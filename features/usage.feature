Feature: Usage reports are exact

  Scenario Outline: Totals are exact: <fault>
    Given a cluster of 1 domains with 3 nodes each
    When requests run while <fault>
    Then the reports hold exactly the answered requests and tokens
    And no window was reported with different figures

    Examples:
      | fault                                      |
      | nothing fails                              |
      | a node is killed after its answers         |
      | the reporter is killed                     |
      | a node is frozen and thawed                |
      | the table is down for 6 seconds            |
      | the table loses answers                    |
      | the reporting interface loses answers      |
      | the table is down and a node is killed     |
      | every node is restarted                    |

  Scenario: A usage batch flushed late counts in a later window, marked as late
    When a batch is flushed after its window has closed
    Then it is counted once, in a later window, marked as late
