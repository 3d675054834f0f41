Feature: Network partitions
  Each failure domain serves what it can during a partition and then recovers.

  Scenario Outline: "bilbao" is cut off from <cut>
    Given a proxied cluster of 3 domains with 2 nodes each
    When traffic runs in every domain before, while and after "bilbao" is cut off from <cut>
    Then in each phase every domain has answered its callers correctly
    And all nodes of the cluster are ready again
    And the reports hold exactly the answered requests and tokens

    Examples:
      | cut                        |
      | all peers                  |
      | the platform               |
      | the platform and all peers |

  Scenario: A domain without servers of its own is served by another
    Given a proxied cluster of 2 domains with 2 nodes and engines
      | name     | domain    |
      | engine-1 | santander |
    When traffic runs through node "oviedo-1" only
    Then no request of the traffic has failed

  Scenario: The platform is down while all nodes restart
    Given a proxied cluster of 2 domains with 2 nodes each
    When the platform is down while the nodes are restarted one by one
    Then node "santander-1" answers its caller
    And node "oviedo-2" answers its caller
