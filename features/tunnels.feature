Feature: A node that is cut off from all servers reaches them through a peer

  Scenario Outline: The connections of a node to all servers <fail>
    Given 3 servers, a node and 1 peer
    When the connections of the node to all servers <fail>
    And callers send requests to the node for 2.5 s
    Then the node has found that it is cut off
    When a caller sends 20 <kind> requests to the node
    Then each request is answered and was run once
    And each of them went through the peer

    Examples:
      | fail      | kind   |
      | hang      | safe   |
      | hang      | unsafe |
      | hang      | stream |
      | reset     | safe   |
      | reset     | unsafe |
      | reset     | stream |
      | reset new | safe   |
      | reset new | unsafe |
      | silent    | safe   |
      | silent    | unsafe |
      | silent    | stream |

  # Guards against a cut that is never found, as only one request at a time waits
  # for an answer.
  Scenario Outline: One caller of a node whose connections to all servers are silent
    Given 3 servers, a node and 1 peer
    When the connections of the node to all servers silent
    And a caller sends 2 <kind> requests to the node
    Then the node has found that it is cut off
    When a caller sends 5 <kind> requests to the node
    Then each request is answered and was run once

    Examples:
      | kind   |
      | safe   |
      | unsafe |

  # Guards against requests that are refused, or opened breakers that remain, as
  # failures of the path are taken for those of servers.
  Scenario: What the cut looked like at first is not held against servers and requests
    Given 3 servers, a node and 1 peer
    When the connections of the node to all servers reset
    And callers send requests to the node for 3 s
    Then the node counts no crash of a server

  Scenario: The end of the cut is found without requests
    Given 3 servers, a node and 1 peer
    When the connections of the node to all servers hang
    And callers send requests to the node for 2.5 s
    And the connections heal
    Then the node has found within 1.5 s that it is not cut off
    When a caller sends 5 unsafe requests to the node
    Then each request is answered and was run once
    And none of them went through the peer

  Scenario Outline: What is no cut: <what>
    Given 3 servers, a node and 1 peer
    When <what> while callers send requests to the node
    Then the node has not found that it is cut off
    And the peer has had no tunnel

    Examples:
      | what                           |
      | one server is silent for 1.2 s |
      | all servers are silent for 1 s |
      | one server has ended           |

  Scenario: Servers that are gone for all nodes
    Given 2 servers, a node and 1 peer
    When all servers have ended
    And callers send requests to the node for 1.5 s
    Then an unsafe request to the node is refused as not run within 0.8 s
    And the node counts no crash of a server

  Scenario: A refused server is refused through a tunnel too
    Given 3 servers, a node and 1 peer
    When the node is cut off and knows it
    And one server has ended
    Then a connection of the node to that server is refused

  # Guards against a server that is taken for ended on the word of one peer,
  # which may have been cut off just before.
  Scenario Outline: <replies> of <peers> peers say that a server refuses
    Given 3 servers, a node and <peers> peers
    When the node is cut off and knows it
    And <replies> of the peers say that a server refuses, and the others that they can't help
    Then a connection of the node to that server <outcome>

    Examples:
      | peers | replies | outcome        |
      | 3     | 1       | has no verdict |
      | 3     | 2       | is refused     |
      | 1     | 1       | is refused     |

  # Guards against a check that ends with an error, so that the end of the cut is
  # never found.
  Scenario: A health path with any characters
    Given 3 servers, a node and 1 peer
    Then a check of a server with the health path "/zdravá→" gets an answer

  Scenario: Peers that are cut off too are passed over
    Given 3 servers, a node and 4 peers
    When the node and 3 peers are cut off and know it
    And a caller sends 10 unsafe requests to the node
    Then each request is answered and was run once

  Scenario: Without a peer that can help the node refuses
    Given 3 servers, a node and 2 peers
    When the node and 2 peers are cut off and know it
    Then an unsafe request to the node is refused as not run within 2.5 s

  # Guards against an answer without length that looks whole though the process
  # that passed it on has ended in the middle of it.
  Scenario Outline: An answer without length whose <end> in the middle of it
    Given 3 servers that answer without length, a node and 1 peer
    When the node is cut off and knows it
    And an unsafe request is answered through the peer and its <end>
    Then the caller sees <outcome>
    And the node counts <crashes> of a server

    Examples:
      | end           | outcome          | crashes  |
      | server closes | the whole answer | no crash |
      | server resets | no whole answer  | a crash  |
      | peer ends     | no whole answer  | no crash |

  # Guards against a cut answer that looks whole, as the spare connection that
  # would tell goes through another peer, where the end comes later.
  Scenario: The spare connection takes the way of the answer
    Given 3 servers that answer without length, a node and 4 peers
    When the node is cut off and knows it
    And a caller sends 10 unsafe requests to the node
    Then each request is answered and was run once
    And each answer was judged by a connection through its own peer

  Scenario: A server that crashes under a request through a tunnel counts as crashed
    Given 3 servers, a node and 1 peer
    When the node is cut off and knows it
    And a server resets the connection of an unsafe request
    Then the node counts a crash of a server

  # Guards against a request that is not refused, as crashes under it are taken
  # for a cut.
  Scenario: Crashes of several servers under a request are no cut
    Given 3 servers, a node and 1 peer
    When servers reset the connections of a safe request
    Then the node counts 2 crashes of servers
    And the node has not found that it is cut off

  Scenario: A stream goes on through another peer
    Given 3 servers, a node and 2 peers
    When the node is cut off and knows it
    And a peer ends during a resumable stream through it
    Then the caller has all events once and in order
    And the node counts no crash of a server

  Scenario: A caller that leaves
    Given 3 servers, a node and 1 peer
    When the node is cut off and knows it
    And a caller leaves during a stream through the peer
    Then the server sees the close within 0.5 s

  Scenario: A peer that stops lets its tunnels end and takes no new ones
    Given 3 servers, a node and 1 peer
    When the node is cut off and knows it
    And the peer begins to stop during a stream through it
    Then the caller has the whole stream
    And the peer replies 503 to a tunnel to a server

  # Guards against the body of a request at a node outside of its home regions.
  Scenario: Requests stay in their home regions
    Given 3 servers, a node and peers in the failure domains far, near, far, far, and requests at home in the region eu
    When the node is cut off and knows it
    And a caller sends 10 unsafe requests to the node
    Then each request is answered and was run once
    And none of them went through a peer in the failure domain far

  Scenario: A request is refused if no node in its home regions can help
    Given 3 servers, a node and peers in the failure domains far, far, and requests at home in the region eu
    When the connections of the node to all servers hang
    And callers send requests to the node for 2.5 s
    Then an unsafe request to the node is refused as not run within 2.5 s
    And the peers have had no tunnel

  Scenario: A large answer to a caller that reads slowly does not fill the peer
    Given 3 servers, a node and 1 peer
    When the node is cut off and knows it
    Then a connection through the peer that is not read takes less than 1 MB from its server

  # Guards against a stream that is lost as its caller pauses, and the window of
  # the connection to the peer is closed for longer than the user timeout.
  Scenario: A caller that reads nothing for 7 s
    Given 3 servers, a node and 1 peer
    When the node is cut off and knows it
    And a caller reads nothing for 7 s of a stream of 8 MB
    Then the caller has the whole stream

  Scenario: No user timeout shortens keep-alive on the connections of a tunnel
    Given 3 servers, a node and 1 peer
    When the node is cut off and knows it
    And a caller has begun a stream through the peer
    Then no keep-alive probe of its connections gives up earlier than its count

  Scenario: A tunnel leads to known servers only
    Given 3 servers, a node and 1 peer
    Then the peer replies 404 to a tunnel to its own address
    And the peer replies 404 to a tunnel to a port where nothing is known
    And the peer replies 200 to a tunnel to a server

  # Guards against a peer that is not asked for any server, as it did not know
  # one of them.
  Scenario: A server that the peers don't know yet
    Given 3 servers, a node and 2 peers
    And a server that only the node knows
    When the node is cut off and knows it
    And callers send requests to the node for 4 s
    Then all of these were served

  # Guards against peers that refuse all as they wonder for a moment whether
  # they are cut off.
  Scenario: A peer that may be cut off helps if it can
    Given 3 servers, a node and 1 peer
    When the peer checks whether it is cut off
    Then the peer replies 200 to a tunnel to a server

  Scenario: The number of tunnels is bounded
    Given 3 servers, a node and 1 peer
    When the peer has as many tunnels as it takes
    Then the peer replies 503 to a tunnel to a server

  # Guards against calls that old nodes refuse, and that end a request.
  Scenario: A peer of an earlier release can't help
    Given 3 servers, a node and 2 peers
    When the first peer answers 400 to all its calls
    And the node is cut off and knows it
    And a caller sends 10 unsafe requests to the node
    Then each request is answered and was run once
