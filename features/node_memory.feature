Feature: What a node has in hand is bounded for all requests together

  # Guards against a node that runs out of memory, or of time on its event loop,
  # as each of many connections stays within bounds of its own.
  Scenario Outline: Many servers send <what> without end
    Given a node process of 160 MB before servers that send <what> without end
    When 240 callers send it a <kind> request each, with sound ones beside them
    Then the node has used at most 160 MB and runs on
    And all sound requests are answered
    And no answer without end looks whole

    Examples:
      | what                               | kind   |
      | header fields                      | unsafe |
      | a body that ends with the channel  | unsafe |
      | a chunked body                     | unsafe |
      | a body of an error                 | unsafe |
      | a body in chunks of one byte       | unsafe |
      | an event                           | stream |
      | lines of an event                  | stream |
      | comments                           | stream |
      | blank lines                        | stream |
      | numbered events                    | stream |

  # Guards against callers that fill the memory of a node, and against an upload
  # that is refused as not run although it has run.
  Scenario Outline: Many callers <act>
    Given a node process of 160 MB before servers with answers of <size> MB
    When <count> callers <act>, with sound requests beside them
    Then the node has used at most 160 MB and runs on
    And all sound requests are answered
    And what was refused as not run has not run

    Examples:
      | act                                | count | size |
      | upload 4 MB each                   | 60    | 0    |
      | upload 1 MB in chunks of one byte  | 20    | 0    |
      | read nothing of their answers      | 60    | 3.9  |
      | send heads without end             | 240   | 0    |
      | send further requests without end  | 240   | 0    |

  # Guards against small requests that end as others hold much, against bytes that
  # stay in the account, and against running requests that are ended for room.
  Scenario: What the account of a node does in 200 random histories
    Given 200 seeded histories of requests that hold bytes on a node of 160 MB
    Then they never hold more than the account allows
    And only the request that holds most gives way
    And the account is empty once all have ended

  # Guards against a connection that keeps the event loop from all others.
  Scenario: Connections with many pieces take a bounded share of the event loop
    Given 50 connections with pieces without end on one event loop
    Then each has a turn of at most 16 pieces before the others have theirs
    And all of them cut at most 5000 pieces a second beyond what is free
    And a stream of 400 pieces a second waits for nobody

  # Guards against bytes that stay in the account after a slow caller has read them.
  Scenario: An answer leaves the account once its caller has read it
    Given a gateway whose caller has read nothing of an answer of 3.9 MB
    When the caller reads the answer
    Then the gateway holds no bytes within 2 s
