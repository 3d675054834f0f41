Feature: Sound requests that are alike are not refused for the crashes of others

  # Guards against one crash of a server that counts once for each of the
  # requests it had in hand, and against counts that no later answer clears.
  Scenario Outline: Alike requests go on beside <deadly>
    Given 3 gateways before <servers> servers that <deadly> crashes
    When alike sound requests arrive while it comes again and again
    Then it crashes at most 8 servers
    And nearly all of the sound requests behind the last crash have run

    Examples:
      | deadly                     | servers |
      | a deadly part of a prompt  | 6       |
      | a deadly call of a service | 2       |

  # Guards against the same fault in other traffic, and against requests that
  # crash servers and are released.
  Scenario Outline: Seeded traffic of alike requests, <traffic>
    Given 20 seeded runs of alike requests beside a deadly call, <traffic>
    Then in each run the call is refused in time
    And in each run the sound requests go on

    Examples:
      | traffic                                  |
      | at all nodes                             |
      | at one node                              |
      | of several client accounts               |
      | with prompts                             |
      | without prompts on three servers         |
      | with a tenth of its runs answered        |
      | while several servers are lost at once   |
      | with a node that starts later            |
      | beside hundreds of other requests        |
      | while servers crash without a cause      |
      | that are rare                            |

  # Guards against rows that are written again with each answer to a popular
  # request, which costs calls to the platform.
  Scenario: The reports of a node stay as they are while a request is answered
    Given a node that saw 3 crashes under a request
    When the request is answered 500 times within 20 s
    Then its reports changed at most 3 times
    And another node that merges them does not refuse the request

  # Answers the load of a popular request that all nodes answer after it met the
  # crashes of three servers: each node's row was written up to three times,
  # although the answers of a few of them had cleared the request.
  Scenario: The reports of all nodes stay as they are once they clear a request
    Given 20 nodes that know 3 crashes under a request
    When the request is answered 5 times a second for 20 s, now here, now there
    Then the reports of all nodes together changed at most 20 times
    And no node refuses the request

  # Guards against two writes of a node's row for each crash, although the retries
  # of its requests succeed at once.
  Scenario: A crash whose request was answered by its retry is not reported
    Given a node that saw a crash under 7 requests without prompts
    When the retry of each is answered before the next report
    Then it reports nothing

  # Guards against a request that stays refused after a mistake, and against one
  # that is tried so often that it goes on crashing servers.
  Scenario: A refused request is tried again by one node, and rarely
    Given 9 nodes that refuse a request after three crashes
    Then within 290 s it crashes at most 3 servers more if it is deadly
    And it is released within 40 s if it is sound
    And it runs again once its crashes have expired since the last look at them

  # Guards against the same fault in the firms' own entries: one crash of an
  # engine that quarantines requests as two of them were in hand there.
  Scenario: Alike requests at the firms' own entries are not quarantined together
    Given two entries that share their marks, with four alike requests in hand
    When the engine of three of them crashes, and then that of the fourth
    Then such requests run alone, and none is quarantined
    And an answer to one of them clears both entries
    And a second crash under one that ran alone quarantines it
