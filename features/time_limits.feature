Feature: A server that stops at its time limit has not ended its answer

  # Guards against a part of an answer that looks whole, as its server stopped at
  # the time limit that the gateway sent it and closed the connection.
  Scenario Outline: A server stops <offset> its time limit, in an answer without length to a <kind> request
    Given a gateway before a server that stops <offset> its time limit
    And routes with a timeout and a target of 0.6 s
    When a caller sends a <kind> request
    Then the caller sees <outcome>
    And the servers got the request once

    Examples:
      | offset       | kind      | outcome                   |
      | 15 ms before | unsafe    | status 504 without a seal |
      | 15 ms before | stream    | half of the stream        |
      | 0 ms before  | safe      | status 504 without a seal |
      | 0 ms before  | unsafe    | status 504 without a seal |
      | 0 ms before  | stream    | half of the stream        |
      | 0 ms before  | resumable | half of the stream        |
      | 60 ms behind | unsafe    | status 504 without a seal |
      | 60 ms behind | stream    | half of the stream        |

  # Guards against a judgement by another limit than the one that the server got.
  Scenario Outline: A server stops at a time limit that is <whose>
    Given a gateway before a server that stops 0 ms before its time limit
    And the time limit of its requests is <whose>
    When a caller sends it a <kind> request
    Then the caller sees <outcome>

    Examples:
      | whose                    | kind   | outcome                   |
      | the caller's             | unsafe | status 504 without a seal |
      | the caller's             | stream | half of the stream        |
      | the rest after a refusal | unsafe | status 504 without a seal |
      | the rest after a refusal | stream | half of the stream        |
      | the rest after a timeout | safe   | status 504 without a seal |

  # Guards against the same where another node passes the answer on.
  Scenario Outline: A server behind a peer stops at its time limit, in a <kind> request
    Given a node that reaches its servers through a peer, and servers that stop at their time limit
    When a caller of that node sends a <kind> request
    Then the caller sees <outcome>
    And the answer came through the peer

    Examples:
      | kind   | outcome                   |
      | unsafe | status 504 without a seal |
      | stream | half of the stream        |

  # Guards against a part of an answer over HTTP/1.0, whose end is that of its
  # connection too.
  Scenario: A server stops at its time limit, in a stream to a caller of HTTP/1.0
    Given a gateway before a server that stops 0 ms before its time limit
    And routes with a timeout of 0.6 s
    When a caller of HTTP/1.0 sends a stream request
    Then the connection of the caller is reset

  # Guards against a server whose time has gone on while the node's has not.
  Scenario Outline: The machine of the node is suspended, and a server stops at its time limit in a <kind> request
    Given a gateway before a server that stops 0 ms before its time limit, for 2.0 s of which the node is suspended
    And routes with a timeout of 2.6 s
    When a caller sends a <kind> request
    Then the caller sees <outcome>
    And the servers got the request once

    Examples:
      | kind      | outcome                   |
      | safe      | status 504 without a seal |
      | unsafe    | status 504 without a seal |
      | resumable | half of the stream        |

  # Guards against requests that are sent again into time that is over.
  Scenario Outline: The machine of the node is suspended, and servers <end> at the time limit of a <kind> request
    Given a gateway before 2 servers that <end> at their time limit, for 2.0 s of which the node is suspended
    And routes with a timeout of 2.6 s
    When a caller sends a <kind> request
    Then the caller sees <outcome>
    And the servers got the request once

    Examples:
      | end                     | kind      | outcome                   |
      | close without an answer | safe      | status 504 without a seal |
      | close inside a chunk    | safe      | status 504 without a seal |
      | close inside a chunk    | resumable | half of the stream        |
      | close inside a chunk    | unsafe    | status 504 without a seal |
      | reset                   | safe      | status 504 without a seal |

  # Guards against an end that was there when the node read no connection.
  Scenario Outline: The node stands still as a server stops at its time limit in a <kind> request
    Given a gateway before a server that stops 0 ms before its time limit
    And routes with a timeout of 0.6 s
    When the node stands still from 0.3 s to <until> s after a caller sends a <kind> request
    Then the caller sees <outcome>

    Examples:
      | kind   | until | outcome                   |
      | unsafe | 0.65  | status 504 without a seal |
      | stream | 0.65  | half of the stream        |
      | unsafe | 1.2   | status 504 without a seal |
      | stream | 1.2   | half of the stream        |

  # Guards against sound answers that are taken for stopped.
  Scenario Outline: A server ends an answer without length to a <kind> request <early> s before its time limit
    Given a gateway before a server that ends its answers <early> s before its time limit
    And routes with a timeout of <limit> s
    When a caller sends a <kind> request
    Then the caller sees <outcome>

    Examples:
      | early | limit | kind      | outcome          |
      | 0.6   | 1.2   | safe      | the whole answer |
      | 0.6   | 1.2   | unsafe    | the whole answer |
      | 0.6   | 1.2   | stream    | the whole stream |
      | 0.6   | 1.2   | resumable | the whole stream |
      | 2.9   | 3.0   | unsafe    | the whole answer |
      | 2.9   | 3.0   | stream    | the whole stream |

  # Guards against sound requests that are refused as if they crashed servers,
  # which only stopped at their time limit.
  Scenario Outline: Servers <end> at the time limit of a <kind> request that is sent again and again
    Given a gateway before 4 servers that <end> at their time limit
    And routes with a timeout and a target of 0.2 s
    When a caller sends the same <kind> request 8 times
    Then the servers got the request 8 times
    And the caller sees <outcome>

    Examples:
      | end                     | kind   | outcome                   |
      | close without an answer | unsafe | status 504 without a seal |
      | close behind a head     | unsafe | status 504 without a seal |
      | close inside a chunk    | safe   | status 504 without a seal |
      | close inside a chunk    | stream | half of the stream        |
      | close inside an event   | stream | half of the stream        |
      | reset                   | unsafe | status 504 without a seal |
      | reset                   | stream | half of the stream        |

  # Guards against a margin that is wider or narrower than documented.
  Scenario Outline: The end of an answer <at> ms after its request, with a time limit of <limit> ms
    Given a time limit of <limit> ms
    When the connection of its answer ends after <at> ms
    Then its server <verdict>

    Examples:
      | limit | at   | verdict          |
      | 3000  | 100  | has not stopped  |
      | 3000  | 2890 | has not stopped  |
      | 3000  | 2910 | may have stopped |
      | 3000  | 3000 | may have stopped |
      | 3000  | 9000 | may have stopped |
      | 60    | 25   | has not stopped  |
      | 60    | 45   | may have stopped |
      | 0     | 0    | may have stopped |
      | -20   | 1    | may have stopped |
