Feature: Decisions of the gateway, without network or clock

  Scenario: The longest prefix of the host wins
    Given routes "/a/" and "/a/b/" of host "h" and "/a/" of host "g"
    Then these requests find these routes
      | host   | path    | route |
      | h      | /a/x    | h/a/  |
      | h      | /a/b/x  | h/a/b/|
      | H:8080 | /a/b/   | h/a/b/|
      | g      | /a/b/x  | g/a/  |
      | h      | /a      | none  |
      | h      | /b/a/   | none  |
      | other  | /a/x    | none  |

  Scenario: A split route shares its requests by weight
    Given a route split 90 to 10
    Then 2000 requests are shared within 3 in 100 of the weights
    And a request always goes to the same side

  Scenario Outline: What is heard about a server: <heard>
    Given a directory that heard <heard>
    Then the server is <state>

    Examples:
      | heard                                         | state   |
      | ready                                         | usable  |
      | ready, draining                               | leaving |
      | ready, draining, an older ready               | leaving |
      | ready, draining, removed, an older ready      | leaving |
      | ready, draining, a new lifetime               | usable  |
      | a new lifetime, an older draining             | usable  |
      | ready, removed                                | gone    |
      | ready, removed after an outage                | usable  |
      | ready, removed after an outage, 2.1 s         | gone    |
      | ready, removed after an outage, ready, 2.1 s  | usable  |
      | ready, a snapshot without it                  | gone    |
      | ready, a snapshot without it after an outage  | usable  |

  Scenario Outline: Repeats of <nodes> nodes stay within the bound
    Then over 100 seeded histories of <nodes> nodes no window holds more repeats than a fifth of its requests and the slack

    Examples:
      | nodes |
      | 3     |
      | 9     |
      | 12    |
      | 89    |

  Scenario: A request that crashed three servers is refused everywhere
    Given a node where a request crashed three servers
    Then that node refuses it and others do after hearing of it
    And a good end clears an innocent request

  Scenario: Load pattern: long prompts beside answers with short pauses
    Given 3 failure domains of 4 engines and requests of both kinds
    Then no long prompt goes to an engine with short-pause answers
    And all nodes agree on those engines

  Scenario: Load pattern: a burst of long prompts on few engines
    Given 3 failure domains of 4 engines and requests of both kinds
    When 200 long prompts arrive at once in one failure domain
    Then some spill to the other engines and failure domains

  Scenario: Load pattern: many prompts that share a part
    Given 3 failure domains of 4 engines and requests of both kinds
    Then prompts with one shared part go to one engine of their domain

  Scenario: Load pattern: a server that fails while its health check passes
    Given 3 failure domains of 4 engines and requests of both kinds
    When one engine fails 6 requests
    Then it gets none of the next 20 and some after it has recovered

  Scenario: What is known of ended lifetimes is dropped
    Given 3 failure domains of 4 engines and requests of both kinds
    When 50 lifetimes of servers come and go
    Then the chooser knows only those that live or still run a request

  Scenario Outline: Load pattern: cheap servers that vanish: <event>
    Given a service first given 3 servers in each of 3 failure domains
    When <event>
    Then the standing orders are <steady> steady and <cheap> cheap servers

    Examples:
      | event                                     | steady | cheap |
      | nothing cheap runs yet                    | 9      | 15    |
      | all cheap servers run                     | 3      | 18    |
      | one failure domain is reclaimed           | 3      | 18    |
      | two failure domains are reclaimed         | 3      | 18    |
      | two and a part of the third are reclaimed | 5      | 17    |
      | all cheap servers are reclaimed           | 9      | 15    |
      | the maximum is 2 a domain                 | 6      | 0     |
      | there is no cheap kind                    | 9      | 0     |
      | cheap servers cost two thirds             | 9      | 12    |

  Scenario: No steady server is taken away before its replacement runs
    Given a service first given 3 servers in each of 3 failure domains
    Then over 300 seeded steps the ordered servers never fall below the first

  Scenario: An order is repeated only while it is not met
    Then a met order is sent once and a refused one every 3 s
