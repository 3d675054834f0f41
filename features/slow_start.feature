Feature: Cold servers get no more requests than they take

  # Guards against the surge on a server that has just started: it is empty, so
  # that all nodes choose it at once, whatever they know of each other. The
  # pattern: a heavy day of one deployment, half of the requests at a tenth of
  # the nodes.
  Scenario Outline: <cold> of <servers> start again, of the paths between nodes <paths>
    Given <nodes> nodes before <servers> warm servers, seed <seed>
    And the paths between nodes: <paths>
    And <event> meanwhile
    When <cold> start again and <rate> requests a second arrive
    Then no cold server gets more than its limit allows in any second
    And all requests get a server

    Examples:
      | nodes | servers | cold              | rate | paths                          | event         | seed |
      | 67    | 12      | s0                | 170  | all work                       | nothing       | 1    |
      | 67    | 70      | those of a domain | 400  | all work                       | nothing       | 2    |
      | 90    | 70      | those of a domain | 400  | all work                       | nodes restart | 3    |
      | 67    | 70      | those of a domain | 170  | all work                       | nodes join    | 4    |
      | 67    | 70      | those of a domain | 400  | none works                     | nothing       | 5    |
      | 67    | 70      | those of a domain | 400  | none to a failure domain works | nothing       | 6    |
      | 67    | 70      | those of a domain | 400  | only within halves             | nothing       | 7    |
      | 67    | 70      | those of a domain | 400  | half of all work               | nodes restart | 8    |

  # Guards against callers that are refused, although cold servers have room.
  Scenario Outline: All <servers> servers are cold after a power failure
    Given <nodes> nodes before <servers> warm servers, seed 9
    When all servers start again and <rate> requests a second arrive
    Then no cold server gets more than its limit allows in any second
    And at least <percent>% of the requests get a server while all are cold

    Examples:
      | nodes | servers | rate | percent |
      | 67    | 70      | 170  | 90      |
      | 67    | 70      | 400  | 70      |

  # Guards against nodes cut from each other that each take the whole limit.
  Scenario: Nodes that reach no issuer share a quarter of a limit
    Given 67 nodes that reach no issuer
    When all of them ask for a cold server all the time for 60 s
    Then it gets 80 to 95 requests, in any second at most 3

  # Guards against entries that are late or wrong: a server that has just started
  # is cold whatever they say, and nothing is held back for longer.
  Scenario Outline: A server that <states> is <state> <after> s after its start
    Then a server that <states> is <state> <after> s after its start

    Examples:
      | states                                           | state | after |
      | states nothing                                   | cold  | 0     |
      | states nothing                                   | cold  | 2.9   |
      | states nothing                                   | warm  | 3.1   |
      | states a cold time that ends 8 s after its start | cold  | 7.9   |
      | states a cold time that ends 8 s after its start | warm  | 8.1   |
      | states no start                                  | warm  | 1     |
      | states a start in an hour                        | warm  | 1     |
      | has a service without a limit                    | warm  | 1     |

  # Guards against an entry, and so its server, that is lost for one bad value.
  Scenario Outline: coldLeftMs <value> of an entry or an answer
    Then an entry with coldLeftMs <value> states a cold time of <entry> s
    And an answer with X-Bilberryturn-Cold-Ms <value> states <answer>

    Examples:
      | value  | entry | answer  |
      | 2500   | 2.5   | 2.5     |
      | 0      | 0     | 0       |
      | -5     | 0     | nothing |
      | 1e12   | 0     | nothing |
      | 1e999  | 0     | nothing |
      | null   | 0     | nothing |
      | "long" | 0     | nothing |
      | [1]    | 0     | nothing |

  # Guards against nodes behind a relay that don't learn that a server has become
  # cold again, as nothing but its heartbeat changed.
  Scenario: A server that becomes cold again is cold for all nodes
    Given a node behind a relay that has read a warm server
    When the server's next entry says that it is cold for 2500 ms
    Then the node and the relay take the server for cold
    And a heartbeat with the same end is not passed on
    When 1 s pass at the relay
    And the server's next entry says that it is cold for 0 ms
    Then the node and the relay take the server for warm
    When the server's next entry says that it is cold for 2500 ms
    And 2 s pass at the relay
    And the relay reads the same entry again
    And 1 s pass at the relay
    Then the node and the relay take the server for warm

  Scenario: A warm server takes what a cold one doesn't
    Given a gateway before two servers, of which the first just started
    When callers send 30 safe requests a second for 3 s
    Then all requests are answered
    And the first server gets between 1 and 8 requests

  Scenario: Callers learn when cold servers take requests
    Given a gateway before two servers, of which both just started
    When callers send 30 safe requests a second for 3 s
    Then the first server gets between 1 and 8 requests
    And the others are refused with Retry-After of at most 1 s

  Scenario: Three nodes keep to the limit of a server that starts
    Given 3 node processes before warm servers of a service
    When callers send 60 requests a second, and a server starts
    Then it gets at most 8 requests in any second while it is cold
    And all are answered, and it gets more once it is warm
