Feature: The gateway gives each caller its own whole answer

  Scenario Outline: A faulty server: <fault> of a <kind> request
    Given a gateway before servers that <fault> once
    When a caller sends a <kind> request
    Then the caller sees <outcome>
    And the servers received the request <sends> times

    Examples:
      | fault                      | kind      | outcome                   | sends |
      | work                       | safe      | the whole answer          | 1     |
      | work                       | unsafe    | the whole answer          | 1     |
      | work                       | stream    | the whole stream          | 1     |
      | say not run                | unsafe    | the whole answer          | 2     |
      | say not run                | stream    | the whole stream          | 2     |
      | expect another server      | unsafe    | the whole answer          | 2     |
      | reset after the request    | safe      | the whole answer          | 2     |
      | reset after the request    | unsafe    | status 502 without a seal | 1     |
      | reset after the request    | stream    | status 502 without a seal | 1     |
      | answer another request     | safe      | the whole answer          | 2     |
      | answer another request     | unsafe    | status 502 without a seal | 1     |
      | send invalid HTTP          | safe      | the whole answer          | 2     |
      | send invalid HTTP          | unsafe    | status 502 without a seal | 1     |
      | cut the body short         | safe      | the whole answer          | 2     |
      | cut the body short         | unsafe    | status 502 without a seal | 1     |
      | encode the body            | safe      | the whole answer          | 2     |
      | fail with a sealed 500     | safe      | the whole answer          | 2     |
      | fail with a sealed 500     | unsafe    | status 500 with its seal  | 1     |
      | do not answer              | safe      | the whole answer          | 2     |
      | reset inside an event      | resumable | the whole stream          | 2     |
      | reset inside an event      | stream    | an incomplete stream      | 1     |
      | end inside an event        | resumable | the whole stream          | 2     |
      | end inside an event        | stream    | an incomplete stream      | 1     |
      | send a second answer       | safe      | the whole answer          | 1     |

  # Guards against a promise that a request has not run, made by a server that
  # ran it and answered a status without the mark for it.
  Scenario Outline: A server may have run a <kind> request: <answers>
    Given a gateway before servers that <answers> once
    When a caller sends a <kind> request
    Then the caller sees <outcome>
    And the servers received the request <sends> times

    Examples:
      | answers              | kind      | outcome                   | sends |
      | run and say 503      | unsafe    | status 502 without a seal | 1     |
      | run and say 429      | unsafe    | status 502 without a seal | 1     |
      | run and say 408      | unsafe    | status 502 without a seal | 1     |
      | run and say 503      | stream    | status 502 without a seal | 1     |
      | run and say 429      | stream    | status 502 without a seal | 1     |
      | say 503 without seal | unsafe    | status 502 without a seal | 1     |
      | say 429 without seal | unsafe    | status 502 without a seal | 1     |
      | say 408 without seal | stream    | status 502 without a seal | 1     |
      | run and say 500      | unsafe    | status 500 with its seal  | 1     |
      | run and say 409      | unsafe    | status 409 with its seal  | 1     |
      | run and say 503      | safe      | the whole answer          | 2     |
      | run and say 503      | resumable | the whole stream          | 2     |
      | run and say 429      | safe      | status 429 with its seal  | 1     |

  # Guards against a mark that is no longer taken for one.
  Scenario Outline: No server has run a <kind> request: <refuse>
    Given a gateway before servers that <refuse> always
    When a caller sends a <kind> request
    Then the caller sees status 503 without a seal

    Examples:
      | refuse                | kind   |
      | say not run           | unsafe |
      | say not run           | stream |
      | expect another server | unsafe |
      | mark 429 as not run   | unsafe |

  Scenario: An extra answer on a reused connection is discarded
    Given a gateway before servers that send a second answer once
    When a caller sends 4 safe requests on one connection
    Then each request got its own answer

  Scenario Outline: A server receives the request of the caller: <what>
    Given a gateway before servers that work once
    When a caller sends <what>
    Then the server saw <seen>

    Examples:
      | what                         | seen                            |
      | a forged account             | the account of the key          |
      | its key                      | no key                          |
      | forged system headers        | none of the system's headers    |
      | a body in chunks             | the same body with a length     |
      | connection-named headers     | all end-to-end headers          |
      | a deadline of 900 ms         | at most 900 ms                  |
      | an encoded path and query    | the same path and query         |

  Scenario Outline: Requests that the system refuses: <what>
    Given a gateway before servers that work once
    When a caller sends <what>
    Then the caller sees <outcome>
    And the servers received the request 0 times

    Examples:
      | what                     | outcome                   |
      | an unknown key           | status 401 without a seal |
      | no key                   | status 401 without a seal |
      | a path without a route   | status 404 without a seal |
      | too large a body         | status 413 without a seal |
      | no valid HTTP            | status 400 without a seal |

  Scenario: A withdrawn key is refused on an open connection
    Given a gateway before servers that work once
    When a caller sends 2 safe requests on one connection
    And the key is withdrawn
    Then the next request on that connection gets status 401

  Scenario: A caller's disconnect ends the work of its server
    Given a gateway before servers that stream slowly once
    When a caller disconnects in the middle of a stream
    Then the server sees the connection close within 0.5 s

  Scenario: A node without configuration refuses a request as not run
    Given a gateway that has no configuration
    When a caller sends a safe request
    Then the caller sees status 503 without a seal

  Scenario: A route's timeout ends a request
    Given a gateway before servers that do not answer once
    And routes with a timeout of 0.6 s
    When a caller sends a unsafe request
    Then the caller sees status 504 without a seal
    And the answer came within 1.1 s

  Scenario: A request that crashes its servers is no longer sent
    Given a gateway before servers that reset after the request always
    When the same safe request is sent 6 times
    Then the servers received the request 3 times
    And the caller sees status 503 without a seal
