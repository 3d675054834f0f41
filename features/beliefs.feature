Feature: Nodes apply changes of the platform's store in time

  Scenario: A lost change history is replaced by a snapshot
    Given a node's feeds on a stand-in of the users' store
    When the store loses its change history while a server joins and another leaves
    Then the feeds apply both changes within 5 s

  Scenario Outline: An entry that <fault> is ignored and hides no other
    Given a node's feeds on a stand-in of the users' store
    When an entry that <fault> is written
    Then the feeds list only the valid servers

    Examples:
      | fault                      |
      | is not JSON                |
      | is not Base64              |
      | lacks its address          |
      | has a list as service      |
      | has an unknown state       |
      | has a port of 0            |
      | has text as number         |
      | is nested too deeply       |
      | has too large a number     |
      | has a port out of range    |
      | has a port of other digits |
      | has a port of 5000 digits  |
      | has a name as host         |

  # Guards against nodes that follow no servers as one entry can't be decoded.
  Scenario Outline: A node that starts beside an entry that <fault> finds the others
    Given a stand-in of the users' store
    When an entry that <fault> is written
    And a node starts that reads the store
    Then the feeds list only the valid servers

    Examples:
      | fault                      |
      | is nested too deeply       |
      | has too large a number     |
      | has a port out of range    |
      | has a port of other digits |
      | has a port of 5000 digits  |

  Scenario Outline: A configuration row that is <what> does not replace version 7
    Given a node's feeds on a stand-in of the users' store
    When the operator's row is <what>
    Then version 7 stays in force

    Examples:
      | what             |
      | older            |
      | not JSON         |
      | without versions |
      | removed          |

  Scenario: A node that cannot reach the store reads from a peer
    Given a node's feeds on a stand-in of the users' store
    And a node that cannot reach the store
    When the operator writes version 9
    Then the unreachable node has version 9 in force within 5 s

  Scenario: Nodes behind a relay make few store calls and fail over when it stops
    Given 3 nodes of one failure domain on a stand-in of the users' store
    Then only 1 of them reads the store after 5 s
    When the node that reads the store is stopped
    And the operator writes version 9
    Then the others have version 9 in force within 5 s

  Scenario: One node reads for the others when a relay cannot reach the store
    Given 4 nodes of one failure domain on a stand-in of the users' store
    And a node that would be its relay but cannot reach the store
    Then only 1 of them reads the store after 5 s

  Scenario: Few other nodes read the store however many relays it rejects
    Then in domains of 2 to 60 nodes where the store rejects up to 2 relays no more other nodes read it than there are relays

  # Guards against a node that takes a configuration for confirmed that it could
  # not read, and against an error that stops the use of a reply.
  Scenario Outline: A configuration from a relay that <fault> is requested again
    Given a node that reads only from a relay
    When the relay sends version 9 in a form that <fault>
    Then the node has no configuration and asks for all content again
    When the relay reads the store again without a change
    Then the node has version 9 in force

    Examples:
      | fault                    |
      | is not Base64            |
      | cannot be decompressed   |

  Scenario: A node that the store rejects backs off
    Given a stand-in of the users' store that answers 429
    Then a follower calls it at most 8 times in 6 s

  Scenario: Two nodes do not both read from each other instead of the store
    Given a node's feeds on a stand-in of the users' store
    And a node that would be its relay but cannot reach the store
    Then the node's own reading of the store stays under 2 s old for 6 s

  Scenario: Stale state from a relay is requested again
    Given a node that reads only from a relay
    When the relay sends version 9 from a store read that is 4 s old
    And the relay reads the store again without a change
    Then the node has version 9 in force

  Scenario: An older server list from a relay does not undo a node's own read
    Given a node that reads only from a relay
    When the node reads that server "good" has left
    And the relay sends version 9 from a store read that is 1 s old
    Then the node knows no server
    When the relay reads the store again without a change
    Then the node has version 9 in force

  Scenario Outline: A relay sends the entries again only if <what>
    Given a node's feeds on a stand-in of the users' store
    When a server's entry <change>
    Then its relayed state is <state>

    Examples:
      | what                            | change                 | state     |
      | they changed                    | reports that it drains | new       |
      | they changed                    | has another address    | new       |
      | they changed                    | is removed             | new       |
      | more than the heartbeat changed | has a later sequence   | unchanged |

  Scenario Outline: The intervals keep the bounds of the deployment
    Given bounds of <drain_s>, <config_s> and <settle_s> s
    Then a change is applied in time although the relay has just lost the store
    And a change is applied in time although the relay is frozen
    And a relay on a slow store is still current
    And a crash is known on every node in time

    Examples:
      | drain_s | config_s | settle_s |
      | 2.5     | 2.5      | 4        |
      | 4       | 4        | 5        |
      | 2       | 3        | 4        |

  # Guards against nodes that go back to the copy, or never follow the operator
  # who goes on from it.
  Scenario: Nodes follow the operator after a restore of the store
    Given a node's feeds on a stand-in of the users' store
    And a node that cannot reach the store
    When the store is restored to version 7 after all nodes have version 9
    Then all nodes keep version 9 for 2 s
    And when the operator writes version 8 all nodes have it within 4 s

  # Guards against requests to a server that has left, as the copy still lists
  # it, and against idle servers that the copy does not know yet.
  Scenario: Servers after a restore of the store
    Given a node's feeds on a stand-in of the users' store
    When one server leaves, another one joins and the store is restored to before
    Then the node uses the one that joined and not the one that left
    And it drops the one that joined when that one does not write its entry again
    And it uses the one that left when that one writes its entry again
