Feature: Measured speeds of model engines, without network or system clock

  # Load pattern: one day of heavy load on 70 engines of uneven speed, where
  # the most urgent streams were served worst and the busiest engine got 3.5
  # times the mean.
  Scenario: Urgent streams keep their pause target on engines of uneven speed
    Given 73 nodes in 6 failure domains and 70 engines of speeds 0.7, 0.7 and 1.7
    When the same traffic runs with fixed costs and with measured speeds
    Then at least 15 in 100 more of the urgent streams are on time
    And no kind is on time less often by more than 2 in 100
    And the busiest engine gets at most 1.5 times the mean by what it takes
    And no poll was longer than 4 KB

  # Guards against requests that stay on an engine which is slow long before it
  # is full, and against one that is never used again.
  Scenario: An engine that turns slow is left and used again
    Given 73 nodes in 6 failure domains and 70 engines of speeds 0.7, 0.7 and 1.7
    When one engine is 3 times slower from 10 s to 20 s
    Then from 15 s to 20 s it gets less than half of what it gets otherwise
    And from 30 s on it gets at least half of that

  # Guards against other choices where no server is faster than the others.
  Scenario: Without measured differences choices are exactly as before
    Given 73 nodes in 6 failure domains and 70 engines of speeds 1.0, 1.0 and 1.0
    When the same traffic runs with fixed costs and with measured speeds
    Then all choices are the same

  # Guards against an estimate that follows a single answer.
  Scenario: One odd answer changes nothing
    Given estimates of two servers from 4 answers each
    Then an answer 50 times slower or faster changes no estimate

  # Guards against message fields that reach the choice unchecked.
  Scenario Outline: Malformed estimates and samples are dropped: <what>
    Given estimates of two servers from 4 answers each
    Then the estimates <estimates> and the samples <samples> change nothing
    And the rest of a peer's message is applied

    Examples:
      | what       | estimates                                    | samples              |
      | truncated  | {"rates":{"llm":9                            | {"K":[0,             |
      | no object  | 7                                            | "x"                  |
      | negative   | {"rates":{"llm":9},"servers":{"K":[1,1,1,-9]}} | {"K":[-1,40]}      |
      | huge       | {"rates":{"llm":9},"servers":{"K":[99,1,1,1]}} | {"K":[0,99999]}    |
      | huge rate  | {"rates":{"llm":99999999999},"servers":{}}   | {"K":[99999]}        |
      | no rate    | {"rates":{"llm":0},"servers":{}}             | {"K":[]}             |
      | not finite | {"rates":{"llm":1e999},"servers":{}}         | {"K":[1e999]}        |
      | no number  | {"rates":{"llm":9},"servers":{"K":[1,1,1,"x"]}} | {"K":[null]}      |
      | too short  | {"rates":{"llm":9},"servers":{"K":[1]}}      | {"K":{}}             |

  # Guards against estimates of a server that has restarted.
  Scenario: Samples of ended lifetimes are dropped
    Given estimates of two servers from 4 answers each
    When one of them starts again
    Then its estimate is the typical one, whatever comes of its former lifetime

  # Guards against own delays that count as slowness of a server.
  Scenario Outline: Gaps that <cause> are not those of the server
    Then reads at <reads> give gaps of <gaps> ms

    Examples:
      | cause                          | reads                              | gaps        |
      | are between single events      | 0 20 41 60                         | 19 and 21   |
      | are before two events together | 0 20 41 60 300:2 320 339           | 19 and 21   |
      | hold a delay of the node       | 0 20 41 60 300!late 320 340 361    | 20 and 21   |

  # Guards against polls that fill the link of a relay.
  Scenario: A poll about 123 servers grows by at most 4 KB
    Given a node and its relay with all that they can measure of 123 servers
    Then samples and estimates together have at most 4096 bytes

  # Guards against versions that do not understand each other.
  Scenario: Older versions without the fields are understood
    Then a request and a reply without the new fields are decoded and change nothing

  # Guards against a path on which nothing is measured.
  Scenario: A streamed answer gives a sample of each kind
    Given a gateway before an engine that streams 8 events 30 ms apart
    When a caller requests a stream with a prompt
    Then the gateway has samples of the first event, low and high gaps and work
