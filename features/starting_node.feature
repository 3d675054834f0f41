Feature: Requests that reach a node just after its start wait for its state

  # Answers callers that reach nodes which have all started again together: they
  # were refused and came back to other nodes without a configuration.
  Scenario Outline: Many requests wait until <order> are known, then run
    Given a starting gateway that knows neither configuration nor servers
    When 60 callers send it a request each
    And it reads <order>
    Then all of them get the whole answer
    And each of them has run once
    And no request waits any more

    Examples:
      | order                                  |
      | the configuration and then the servers |
      | the servers and then the configuration |

  # Guards against a request that is held for longer than it is worth, and
  # against waits in a node that is cut off from the store.
  Scenario Outline: A request whose time limit is <limit> waits for <wait> s
    Then a request whose time limit is <limit> waits for <wait> s at most

    Examples:
      | limit   | wait |
      | unknown | 0.8  |
      | 0.25 s  | 0.1  |
      | 2 s     | 0.8  |
      | 12 s    | 1.5  |

  # Guards against a wait without end, and against the limit of the caller alone
  # where that of the route is shorter.
  Scenario Outline: The state does not come: <known>
    Given a starting gateway that knows <known>
    And its routes have a time limit of <route> s
    When a caller with a time limit of <caller> ms sends it a request
    Then the caller is refused with no_configuration
    And it has waited for between <least> and <most> s

    Examples:
      | known                               | route | caller | least | most |
      | neither configuration nor servers   | 12    | 500    | 0.2   | 3    |
      | its configuration but no server     | 0.5   | 12000  | 0.2   | 1.2  |

  # Guards against a node that holds requests although it can't get its state.
  Scenario Outline: A gateway that <state> refuses a request at once: <reason>
    Given a starting gateway that <state>
    When a caller with a time limit of 12000 ms sends it a request
    Then the caller is refused with <reason>
    And its request has not waited

    Examples:
      | state                                        | reason           |
      | has listened for 6 s and knows nothing       | no_configuration |
      | has read that there is no server             | no_server        |

  # Guards against a request that runs for a caller that has gone, and against
  # bytes that stay in the account.
  Scenario: A caller leaves while its request waits
    Given a starting gateway that knows neither configuration nor servers
    When 5 callers send it a request each
    And the callers leave
    Then no request waits any more
    When it reads the configuration and then the servers
    Then no server gets a request

  # Guards against requests that a stop drops or refuses although they could run.
  Scenario Outline: A stop while a request waits: <event>
    Given a starting gateway that knows neither configuration nor servers
    When 3 callers send it a request each
    And it begins to stop
    And <event>
    Then all of them get <answer>
    And no request waits any more

    Examples:
      | event                                           | answer                 |
      | it reads the configuration and then the servers | the whole answer       |
      | the stop ends                                   | 503 with node_stopping |

  # Guards against waiting requests that fill the memory of the node.
  Scenario: Waiting requests stay within the account of memory
    Given an account of 4 MB and 600 requests of up to 60 KB that wait
    Then the account holds at most 4 MB
    And the requests that gave way were larger than those that wait
    When the state arrives
    Then the requests that did not give way go on
    And the account is empty

  # Guards against a readiness that is late by a tick, and a balancer with it.
  Scenario: The readiness follows what a node reads without a tick
    Given a node of the gateway that has started
    When the node reads its configuration and one server
    Then the node says that it is ready
    When the node reads that there is no server any more
    Then the node says that it is not ready

  # Guards against a wake-up that isn't wired to what a node reads.
  Scenario: A process that starts again serves the requests that it gets meanwhile
    Given a node process whose store takes 0.1 s for each answer
    When it is killed and starts again, and 20 callers send requests as soon as it listens
    Then all of them get the whole answer
    And some of them waited for the state
    And the node was ready as soon as the state had arrived

  # Guards against calls that a starting node makes, and waits for, in vain; and
  # against a row that is missing after it was taken for written.
  Scenario Outline: The first calls of a node that starts again and whose row <row>
    Given a store in which the row of a node <row>
    When the node starts again and its duties take their first step
    Then it calls <calls>
    And its row stands in the store
    And its row stands in the store again after a restore that lost it

    Examples:
      | row                 | calls                  |
      | stands              | rows-get               |
      | is missing          | rows-get, then rows-tx |
      | has another address | rows-get, then rows-tx |

  # Guards against a configuration that is read one call late, and against calls of
  # three followers to a store that is away.
  Scenario Outline: What a node without a relay reads first if the store <answers>
    When a node starts again and the store <answers> its first call
    Then it reads <tables> at once

    Examples:
      | answers        | tables                |
      | answers        | servers, op, suspects |
      | doesn't answer | servers               |
