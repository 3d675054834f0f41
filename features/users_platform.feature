Feature: The adapter follows the published protocol of the users' platform

  Scenario Outline: The store <condition>
    Given a stand-in of the users' store that <condition>
    Then a read gives <read>
    And a transaction gives <transaction>

    Examples:
      | condition           | read         | transaction  |
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

  Scenario: A duty call that timed out is not delivered later
    Given a stand-in of the users' store that works
    Then the duty client resets its connection when a call times out

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

  Scenario Outline: A reload <effect>
    Given a node of the gateway that has started
    When its settings file <change> and it reloads its settings
    Then the reload <effect>

    Examples:
      | change               | effect                         |
      | names other seeds    | takes the new seeds            |
      | has a longer grace   | takes the new grace            |
      | names another store  | says that store needs a start  |
      | cannot be used       | keeps what was                 |

  Scenario: Arbitrary bytes as settings, configuration, entry or header
    Then 600 seeded inputs of each kind give a result or a typed error

  Scenario: A request is traced through the logs of two nodes
    Given the logs of two nodes
    When the operator traces request "r7" in them
    Then the state changes before it and its own lines are printed in order
    And an unknown request is reported as unknown

  Scenario: A slow reader of the log does not block writers
    Then 20000 lines are written without blocking while nothing reads them and the dropped ones are counted

  Scenario: The deploy file installs what the project declares
    Then requirements.txt pins only what pyproject.toml pins, at the same versions
    And the deploy file runs a program that exists
