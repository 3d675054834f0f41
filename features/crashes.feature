Feature: A request that crashes the servers that run it is refused

  # Guards against crashes that go uncounted, as the connection had carried a
  # request before and might have been closed while it was idle.
  Scenario: Crashes over kept connections count
    Given a server that ends under a request, and is back with a kept connection
    When a caller sends the request 8 times as safe
    Then it has crashed 3 servers
    And the caller sees that it has not run

  # Guards against crashes that are forgotten, as another server failed in
  # between without ending.
  Scenario: An error of a server does not clear crashes
    Given a server that ends under a request, and each second time answers 500
    When a caller sends the request 12 times as unsafe
    Then it has crashed 3 servers

  # Guards against crashes that go uncounted, as the answer had begun.
  Scenario: Crashes just after the first event of a stream count
    Given a server that ends after the first event of its answer to a request
    When a caller sends the request 8 times as resumable
    Then it has crashed 3 servers
    And the caller sees that it has not run

  # Guards against crashes that go uncounted, as they came at the time limit at
  # which the server was told to stop.
  Scenario Outline: Crashes at the time limit of a <kind> request, <when>, count
    Given a server that ends at the time limit of a request, <when>
    When a caller sends the request 8 times as <kind>
    Then it has crashed 3 servers
    And the caller sees that it has not run

    Examples:
      | kind      | when                          |
      | safe      | before its answer             |
      | unsafe    | before its answer             |
      | resumable | before its answer             |
      | unsafe    | in an answer without a length |

  # Guards against sound requests that are refused as if they crashed servers.
  Scenario Outline: A sound request is not refused as <what>
    Given a server that <fault>
    When a caller sends the request <count> times as <kind>
    Then the server gets the request each time

    Examples:
      | what                                  | fault                                      | count | kind      |
      | kept connections are closed           | closes kept connections as a request comes | 8     | safe      |
      | its server ends in mid-answer         | ends 1.2 s after the first event           | 4     | resumable |

  # Guards against calls of plain services whose crashes no node counts.
  Scenario: A call that ends servers of a plain service is refused by all entries
    Given a cluster of 1 domains with 2 nodes each
    And 3 catalogue servers
    When a search that ends catalogue servers is sent 4 times to each entry
    Then at most 2 catalogue servers have ended
    And each entry refuses the search as quarantined
    And other searches are answered

  # Guards against counts of single nodes that do not reach the others in time.
  Scenario: Node processes share the crashes of a request
    Given 3 node processes of one failure domain before 3 servers that crash
    When the same request crashes a server at each node in turn
    Then 4 s after the third crash all of them refuse it
