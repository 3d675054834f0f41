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

  Scenario: Four nodes keep to a limit that begins while the store is away
    Given 4 node processes before servers of which s3 take 1 requests a second
    And the store rejects all calls
    When callers send 16 requests a second for 14 s, most of them to one node, and a node restarts
    Then each of s3 gets at most half more than its limit and 5 requests in any 4 s
    And each of s3 gets at least half of its limit

  # The pattern: requests a second of which one server in need takes a hundredth,
  # arriving at many nodes, most of them at a few.
  Scenario Outline: <nodes> nodes with uneven traffic share the limits of <limited> of <servers> servers
    Given <nodes> nodes in <domains> failure domains before <servers> servers, <limited> of which take <limit> requests a second
    When <rate> requests a second arrive for 60 s, half of them at a tenth of the nodes, and a node restarts each 5 s
    Then no limited server gets more than half more than its limit and 5 requests in any 4 s
    And the limited servers get at least 3 quarters of what they take
    And no node is asked for more than 15 permits a second

    Examples:
      | nodes | domains | servers | limited | limit | rate |
      | 9     | 3       | 6       | 1       | 1.0   | 22   |
      | 9     | 3       | 6       | 6       | 1.0   | 22   |
      | 89    | 6       | 45      | 2       | 1.0   | 170  |
      | 89    | 6       | 45      | 40      | 0.7   | 170  |
      | 195   | 6       | 123     | 1       | 0.5   | 500  |
      | 195   | 6       | 123     | 110     | 2.0   | 500  |

  Scenario: Requests of a higher tier get the permits before those of a lower one
    Given an issuer of a server that takes 1 request a second
    When 4 nodes ask for requests of both tiers all the time for 60 s
    Then the higher tier gets at least 48 of at most 62 permits
    And the lower tier gets a permit in any 20 s

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

  # Guards against a caller that is kept away by one server's Retry-After while
  # another one takes requests.
  Scenario: A caller is not kept away while another server takes requests
    Given two servers, of which one turns requests away for 30 s and the other refuses
    When a caller sends 4 safe requests in turn
    Then each of them is refused with Retry-After under 1 s

  Scenario: A caller that no server takes learns when the first one does
    Given two servers that turn requests away, for 3 s and for 2 s
    When a caller sends 3 safe requests in turn
    Then the last one is refused with Retry-After between 1 and 2 s
