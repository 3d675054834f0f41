Feature: Leaving and stopping
  The traffic uses seed 3.

  Scenario Outline: A leaving backend server gets no new requests: <trigger>
    Given a cluster of 1 domains with 2 nodes and engines
      | name     | domain    | slots | token_interval_s | cheap |
      | engine-1 | santander | 8     | 0.01             | yes   |
      | engine-2 | santander | 8     | 0.01             | no    |
    When traffic runs and engine "engine-1" leaves after <trigger>
    Then it gets no new requests after 5 seconds
    And no request of the traffic has failed

    Examples:
      | trigger             |
      | an operator's drain |
      | an operator's mark  |
      | the platform's list |
      | a reclaim notice    |

  Scenario: A planned stop interrupts no request
    Given a cluster of 2 domains with 2 nodes each
    And every engine takes 0.02 seconds for a token
    When a node is stopped while it streams 12 answers
    Then every answer equals the engine's own
    And the node has exited with status 0

  # Guards against requests that are passed on and lost as their node stops.
  Scenario Outline: Callers keep using their connections for <kind> until their node is gone
    Given a cluster of 1 domains with 2 nodes each
    And every engine takes 0.01 seconds for a token
    When a node is stopped while 8 callers send <kind> back to back
    Then the node has exited with status 0 within 10 seconds
    And each request that a server received has a whole answer
    And each refusal announced that its connection closes

    Examples:
      | kind                   |
      | repeatable calls       |
      | calls that run once    |
      | streams                |

  # Guards against a stop without end, and against a request that it cuts and
  # reports as given up by its caller.
  Scenario Outline: A stop that reaches its deadline ends <kind>
    Given a cluster of 1 domains with 2 nodes each
    And every engine takes 0.05 seconds for a token
    And the deadline of a node's stop is 1 second
    When the node is stopped while a caller waits for <kind>
    Then the node has exited with status 0 within 10 seconds
    And the caller is told that the node has stopped and the request may have run

    Examples:
      | kind                |
      | a repeatable call     |
      | a call that runs once |
      | a stream              |

  # Guards against a stop that lasts as long as callers send requests.
  Scenario Outline: A request that comes <when> the node begins to refuse requests
    Given the application of a node
    When a request comes <when> the node begins to refuse requests
    Then it is refused and <result>

    Examples:
      | when      | result                              |
      | after     | the stop has not waited for it      |
      | just when | the stop has waited for its refusal |

  Scenario: A daemon that gets signals throughout its stop ends as planned
    Given a cluster of 1 domains with 2 nodes each
    When a node gets SIGTERM, then SIGHUP and SIGTERM until it is gone
    Then the node has exited with status 0

  # Guards against a request that is passed on behind an announced close, whose
  # caller has left by then.
  Scenario Outline: A request sent <when> a response of a stopping node
    Given a cluster of 1 domains with 2 nodes each
    When a node is stopped and a caller sends a request <when> a response
    Then <result>

    Examples:
      | when                          | result                                                |
      | ahead of                      | no close is announced before the last of both answers |
      | behind the close announced by | the connection is closed without a run of the request |

  Scenario: A stopping node refuses a large body with a whole answer
    Given a cluster of 1 domains with 2 nodes each
    When a caller sends a body of 3 MB to a node that stops and refuses requests
    Then the caller gets the whole refusal

  Scenario Outline: <victim> is killed under traffic
    Given a cluster of 2 domains with 3 nodes each
    When traffic through the other nodes runs while <victim> is killed
    Then no request of the traffic has failed

    Examples:
      | victim                |
      | the broker of a pool  |
      | another entry         |
      | a whole domain        |

  Scenario: A rolling restart of all nodes fails no request
    Given a cluster of 2 domains with 2 nodes each
    When every node is restarted in turn under traffic
    Then no request of the traffic has failed
