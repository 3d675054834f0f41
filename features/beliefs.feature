Feature: Nodes know in time what the platform's store says

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
    When the relay hears the store again without a change
    Then the node has version 9 in force

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
