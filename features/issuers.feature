Feature: Permits for servers in need while the nodes that issue them are away

  # Guards against a limit that each node hands out in full, as the nodes that
  # issue the server's permits are away: the one on duty, those of its failure
  # domain, or those that would replace it. The pattern: all nodes ask for the
  # permits of one server all the time.
  Scenario Outline: A server takes <limit> requests a second, and <nodes> <are away>
    Given 9 nodes in 3 failure domains before a server that takes <limit> requests a second
    When <nodes> that may issue its permits, as they <are away>, are away for 3.5 s
    Then the server gets at most half more than its limit and 5 requests in any 4 s
    And it gets at least <share> of its limit meanwhile, and 3 quarters again 6 s later

    Examples:
      | nodes                  | are away   | limit | share |
      | the first node         | end        | 2     | 0.5   |
      | the first node         | freeze     | 2     | 0.25  |
      | the first node         | lose power | 2     | 0.25  |
      | all nodes of a domain  | end        | 2     | 0.5   |
      | all nodes of a domain  | freeze     | 2     | 0.25  |
      | all nodes of a domain  | lose power | 2     | 0.25  |
      | all nodes of a domain  | freeze     | 20    | 0.25  |
      | all nodes of a domain  | end        | 20    | 0.5   |
      | the first two nodes    | end        | 2     | 0.5   |
      | the first two nodes    | freeze     | 2     | 0.125 |
      | the first two nodes    | freeze     | 8     | 0.125 |

  # Guards against replacements that each hand out the whole limit while nodes
  # disagree about who is away.
  Scenario Outline: A server takes <limit> requests a second, and <paths>
    Given 9 nodes in 3 failure domains before a server that takes <limit> requests a second
    When for 8 s <paths>
    Then the server gets at most half more than its limit and 5 requests in any 4 s

    Examples:
      | paths                                  | limit |
      | half of the calls are lost             | 2     |
      | half of the calls are lost             | 10    |
      | two thirds of the calls are lost       | 2     |
      | a third of the nodes miss the first one | 2    |
      | a third of the nodes miss the first one | 10   |

  # Guards against the same in a series of events of all kinds that overlap.
  Scenario: Seeded series of nodes that end, freeze, lose power and come back
    Given seeds 0 to 59 of 9 to 40 nodes before a server that takes 0.5 to 20 requests a second
    When nodes and failure domains are away one after another and at once
    Then the server gets at most half more than its limit and 5 requests in any 4 s of each
    And it gets at least half of its limit over all

  # Guards against an issuer that has started without knowing the servers, and so
  # keeps both itself and its replacement from handing out the limit.
  Scenario: The issuer starts again while the store is away
    Given 9 nodes in 3 failure domains before a server that takes 4 requests a second
    When the first node ends for 1 s and reaches neither store nor nodes for 8 s more
    Then the server gets at most half more than its limit and 5 requests in any 4 s
    And it gets at least 0.5 of its limit meanwhile, and 3 quarters again 6 s later

  # Guards against nodes that are gone for good, whose rows stay in the store: a
  # replacement must not be held back by them for long.
  Scenario: The issuers of a server are replaced by machines at other addresses
    Given 9 nodes in 3 failure domains before a server that takes 4 requests a second
    When the first 3 nodes lose power and never come back
    Then the server gets at most half more than its limit and 5 requests in any 4 s
    And it gets at least 0.75 of its limit from 12 s on
