Feature: Decisions of the gateway, without network or system clock

  Scenario: The longest prefix of the host wins
    Given routes "/a/" and "/a/b/" of host "h" and "/a/" of host "g"
    Then these requests match these routes
      | host   | path   | route  |
      | h      | /a/x   | h/a/   |
      | h      | /a/b/x | h/a/b/ |
      | H:8080 | /a/b/  | h/a/b/ |
      | g      | /a/b/x | g/a/   |
      | h      | /a     | none   |
      | h      | /b/a/  | none   |
      | other  | /a/x   | none   |

  Scenario: A split route shares its requests by weight
    Given a route split 90 to 10
    Then 2000 requests are split within 3 in 100 of the weights
    And a request always goes to the same target

  Scenario Outline: State of a server after the events <received>
    Given a directory that received the events <received>
    Then the server is <state>

    Examples:
      | received                                     | state   |
      | ready                                        | usable  |
      | ready, draining                              | leaving |
      | ready, draining, an older ready              | leaving |
      | ready, draining, removed, an older ready     | leaving |
      | ready, draining, a new lifetime              | usable  |
      | a new lifetime, an older draining            | usable  |
      | ready, removed                               | gone    |
      | ready, removed after an outage               | usable  |
      | ready, removed after an outage, 2.1 s        | gone    |
      | ready, removed after an outage, ready, 2.1 s | usable  |
      | ready, a snapshot without it                 | gone    |
      | ready, a snapshot without it after an outage | usable  |

  Scenario Outline: Retries of <nodes> nodes stay within the budget
    Then over 100 seeded histories of <nodes> nodes no window holds more repeats than a fifth of its requests and the slack

    Examples:
      | nodes |
      | 3     |
      | 9     |
      | 12    |
      | 89    |

  Scenario: A request that crashed three servers is refused everywhere
    Given a node where a request crashed three servers
    Then that node refuses it and other nodes do after merging its crash counts
    And a successful attempt clears the crash count of a request

  Scenario: Load pattern: long prompts beside latency-sensitive requests
    Given 3 failure domains of 4 engines and long and latency-sensitive requests
    Then no long prompt goes to an engine that serves latency-sensitive requests
    And all nodes agree on those engines

  Scenario: Load pattern: a burst of long prompts on few engines
    Given 3 failure domains of 4 engines and long and latency-sensitive requests
    When 200 long prompts arrive at once in one failure domain
    Then some spill to the other engines and failure domains

  Scenario: Load pattern: many prompts that share a part
    Given 3 failure domains of 4 engines and long and latency-sensitive requests
    Then prompts with one shared part go to one engine of their domain

  Scenario: Load pattern: a server that fails while its health check passes
    Given 3 failure domains of 4 engines and long and latency-sensitive requests
    When one engine fails 6 requests
    Then it gets none of the next 20 and some after it has recovered

  Scenario: State of ended server lifetimes is removed
    Given 3 failure domains of 4 engines and long and latency-sensitive requests
    When the servers go through 50 successive lifetimes
    Then the load balancer keeps only live lifetimes and those with open requests

  Scenario Outline: Load pattern: preemption of cheap servers: <event>
    Given a service with a baseline of 3 servers in each of 3 failure domains
    When <event>
    Then the plan orders <on_demand> on-demand and <cheap> cheap servers

    Examples:
      | event                                                     | on_demand | cheap |
      | no cheap server runs yet                                  | 9         | 15    |
      | all cheap servers run                                     | 3         | 18    |
      | one failure domain is reclaimed                           | 3         | 18    |
      | two failure domains are reclaimed                         | 3         | 18    |
      | two failure domains and a part of the third are reclaimed | 5         | 17    |
      | all cheap servers are reclaimed                           | 9         | 15    |
      | the maximum is 2 servers per failure domain               | 6         | 0     |
      | no cheap servers are offered                              | 9         | 0     |
      | cheap servers cost two thirds of the on-demand price      | 9         | 12    |

  Scenario: No on-demand server is removed before its replacement runs
    Given a service with a baseline of 3 servers in each of 3 failure domains
    Then over 300 seeded steps the ordered servers never fall below the baseline

  Scenario: An order is sent again only while it is not fulfilled
    Then an order is sent every 3 s until it is fulfilled
