Feature: Servers in need get no more requests than they take

  # Guards against a server that gets far more requests than the limit that it
  # names: each node keeps to it alone, or none does.
  Scenario Outline: Four nodes keep to the limit of <limited>, one restarts
    Given 4 node processes before servers of which <limited> take <limit> requests a second
    When callers send 16 requests a second for 14 s, most of them to one node, and a node restarts
    Then each of <limited> gets at most half more than its limit and 5 requests in any 4 s
    And each of <limited> gets at least half of its limit

    Examples:
      | limited | limit |
      | s3      | 1     |
      | s3, s4  | 2     |

  # Guards against requests to a server whose answers say that it leaves, before
  # its entry does.
  Scenario Outline: A server that says in <answer> that it leaves gets no more requests
    Given two servers, of which one says in <answer> that it leaves
    When a caller sends 20 safe requests in turn
    Then all of them are answered
    And the leaving server got 1 request
    When the store reports the leaving server as ready again
    And a caller sends 20 safe requests in turn
    Then the leaving server got 1 request

    Examples:
      | answer    |
      | an answer |
      | a refusal |

  # Guards against requests to a server that has said for how long it takes none.
  Scenario: A server that turns requests away for a time gets none meanwhile
    Given two servers, of which one turns requests away for 2 s
    When callers send 40 safe requests over 1.8 s
    Then all of them are answered
    And the turning server got at most 2 requests
    When a caller sends 20 requests 2.2 s after the first
    Then the turning server has got another request

  Scenario: A caller that no server takes learns when the first one does
    Given two servers that turn requests away, for 3 s and for 2 s
    When a caller sends 3 safe requests in turn
    Then the last one is refused with Retry-After between 1 and 2 s
