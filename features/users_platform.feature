Feature: The adapter meets the users' platform by its published protocol

  Scenario Outline: The store <trouble>
    Given a stand-in of the users' store that <trouble>
    Then a read gives <read>
    And a transaction gives <transaction>

    Examples:
      | trouble             | read         | transaction  |
      | works               | the row      | committed    |
      | answers 503         | refused      | refused      |
      | answers 429         | refused      | refused      |
      | loses its answers   | unreachable  | unreachable  |
      | stays silent        | unreachable  | unreachable  |
      | answers garbage     | unreadable   | unreadable   |

  Scenario: A transaction under a wrong version changes nothing
    Given a stand-in of the users' store that works
    Then a transaction with an old version fails and writes nothing

  Scenario: Long tables are read in pages
    Given a stand-in of the users' store that works
    When 1100 rows are written to a table
    Then a snapshot holds all of them once

  Scenario: A lost history is replaced by a snapshot
    Given a node's feeds on a stand-in of the users' store
    When the store forgets its history while a server joins and another leaves
    Then the feeds know both within 5 s

  Scenario Outline: An entry that <fault> names no server and hides no other
    Given a node's feeds on a stand-in of the users' store
    When an entry that <fault> is written
    Then the feeds know only the good server

    Examples:
      | fault                      |
      | is no JSON                 |
      | is no Base64               |
      | lacks its address          |
      | has a list as service      |
      | has an unknown state       |
      | has a port of 0            |
      | has text as number         |

  Scenario Outline: A configuration that is <what>
    Given a node's feeds on a stand-in of the users' store
    When the operator's row is <what>
    Then version 7 stays in force

    Examples:
      | what             |
      | older            |
      | no JSON          |
      | without versions |
      | removed          |

  Scenario: A node that the store turns away hears from a peer
    Given a node's feeds on a stand-in of the users' store
    And a node whose own way to the store is cut
    When the operator writes version 9
    Then the cut node has version 9 in force within 5 s

  Scenario: Nodes behind a relay make few calls and lose nothing with it
    Given 3 nodes of one failure domain on a stand-in of the users' store
    Then only 1 of them reads the store after 5 s
    When the node that reads the store is stopped
    And the operator writes version 9
    Then the others have version 9 in force within 5 s

  Scenario: One node reads for the others when the store turns a relay away
    Given 4 nodes of one failure domain on a stand-in of the users' store
    And a node that would be its relay but is cut from the store
    Then only 1 of them reads the store after 5 s

  Scenario: However many relays are turned away, few others read
    Then in domains of 2 to 60 nodes of which up to 2 relays are turned away no more others read than there are relays

  Scenario: A node that the store turns away calls it ever less often
    Given a stand-in of the users' store that answers 429
    Then a follower calls it at most 8 times in 6 s

  Scenario: Two nodes do not take each other for the store
    Given a node's feeds on a stand-in of the users' store
    And a node that would be its relay but is cut from the store
    Then the node's own reading of the store stays under 2 s old for 6 s

  Scenario: What came too old from a relay is asked for again
    Given a node that hears only from a relay
    When the relay tells version 9 while it has not heard the store for 4 s
    And the relay hears the store again without a change
    Then the node has version 9 in force

  Scenario: An older list from a relay does not undo what a node has read
    Given a node that hears only from a relay
    When the node reads that server "good" has left
    And the relay tells version 9 while it has not heard the store for 1 s
    Then the node knows no server

  Scenario Outline: A relay tells the entries again only if <what>
    Given a node's feeds on a stand-in of the users' store
    When a server's entry <change>
    Then its relay content is <told>

    Examples:
      | what            | change               | told      |
      | they changed    | says that it leaves  | new       |
      | they changed    | has another address  | new       |
      | they changed    | is removed           | new       |
      | not a heartbeat | has a later sequence | unchanged |

  Scenario Outline: The intervals keep the bounds of the deployment
    Given bounds of <drain_s>, <config_s> and <settle_s> s
    Then a change is heard in time although the relay has just lost the store
    And a change is heard in time although the relay is frozen
    And a relay on a slow store is still current
    And a crash is known everywhere in time

    Examples:
      | drain_s | config_s | settle_s |
      | 2.5     | 2.5      | 4        |
      | 4       | 4        | 5        |
      | 2       | 3        | 4        |

  Scenario: A duty call that is given up does not arrive later
    Given a stand-in of the users' store that works
    Then the duty client resets its connection when it gives up

  Scenario Outline: A settings file that <fault>
    Then a settings file that <fault> gives <outcome>

    Examples:
      | fault                  | outcome                 |
      | is complete            | settings                |
      | has unknown names      | settings                |
      | lacks the node's name  | a fault named node      |
      | lacks the store        | a fault named addr      |
      | has a port of text     | a fault named front     |
      | has text as bound      | a fault named graceS    |
      | cannot be read         | a fault of the file     |

  Scenario: Any bytes as settings, configuration, entry or header
    Then 600 seeded inputs of each kind give a result or a typed error

  Scenario: A request is followed through the logs of two nodes
    Given the logs of two nodes
    When the operator traces request "r7" in them
    Then the beliefs before it and its own lines are printed in order
    And an unknown request is said to be unknown

  Scenario: A slow reader of the log blocks nobody
    Then 20000 lines are written at once while nobody reads and the lost ones are counted

  Scenario: The deploy file installs what the project declares
    Then requirements.txt pins only what pyproject.toml pins, at the same versions
    And the deploy file runs a program that exists
