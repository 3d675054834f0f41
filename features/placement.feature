Feature: Requests stay in their home regions and out of drained failure domains

  # Guards against a request that leaves its home regions, and against a drained
  # failure domain that is forgotten as others are drained.
  Scenario Outline: Home regions <route> of the route and <account> of the account, <drained> drained
    Given servers e1 and e2 in region east, w1 in region west and u1 in a failure domain without a region
    When the configuration has home regions <route> for the route and <account> for the account
    And the failure domains <drained> are drained
    Then the request may be sent to <servers>
    And its home regions <homes>

    Examples:
      | route      | account     | drained            | servers        | homes                |
      | absent     | absent      | none               | e1, e2, w1, u1 | have servers         |
      | empty      | null        | none               | e1, e2, w1, u1 | have servers         |
      | east       | absent      | none               | e1, e2         | have servers         |
      | absent     | west        | none               | w1             | have servers         |
      | east, west | west, north | none               | w1             | have servers         |
      | east       | west        | none               | none           | have no server       |
      | north      | absent      | none               | none           | have no server       |
      | absent     | absent      | d1                 | e2, w1, u1     | have servers         |
      | east       | absent      | d1                 | e2             | have servers         |
      | east       | absent      | d1, d2             | none           | have servers         |
      | absent     | absent      | d1, d2, d3, d4     | none           | have servers         |

  # Guards against a request that is told to correct its lists while its service
  # has no server anywhere.
  Scenario: Home regions of a service without servers
    Then home regions of a service without servers can only be disjoint

  # Guards against a restriction that is dropped as its list can't be read.
  Scenario: Home regions that are no list
    Then home regions that are a number don't replace home region east

  # Guards against servers of the node's own failure domain that count as in no
  # region, against failure domains whose region is stated as empty, and against
  # relays that are polled too rarely for drains.
  Scenario: Regions in the settings
    Then the settings "zone=a;region=r1;zones.b=r2;zones.c=" give the regions "a=r1, b=r2"
    And the settings "zone=a;region=;zones.b=r2" give the regions "b=r2"
    And the settings "zone=a;bounds.configMs=4000" want the operator's rows within 4 s
    And the settings "zone=a;bounds.configMs=4000;bounds.evacuateMs=3000" want the operator's rows within 3 s

  # Guards against drains that a reading without the configuration, a malformed
  # key, a restore, or a peer that is behind or of an older version undoes or
  # brings back.
  Scenario Outline: The drained failure domains after <what>
    Given a node that has read the drained failure domains d1
    When it gets <what>
    Then its drained failure domains are <drained>
    And a peer that starts learns <drained> from it

    Examples:
      | what                                             | drained |
      | nothing                                          | d1      |
      | a change that drains d2                          | d1, d2  |
      | a change that undoes the drain of d1             | none    |
      | a change of the configuration only               | d1      |
      | a change with a key that names no failure domain | d1      |
      | a snapshot with d3                               | d3      |
      | a snapshot without drains after a restore        | none    |
      | a reading from before a restore                  | d3      |
      | a peer's newer list with d2                      | d2      |
      | a peer's older list without drains               | d1      |
      | a peer's newer list from before a restore        | d1      |
      | a peer's list without drains after a restore     | none    |
      | a peer's state that omits the list               | d1      |

  # Guards against a list that is passed on as confirmed although only the
  # configuration was, by a peer of an older version.
  Scenario: A list that was not confirmed with the configuration
    Given a node that has read the drained failure domains d1
    Then it omits the list if the configuration is confirmed without it

  # Guards against a request that a retry or a resumption takes to another region.
  Scenario Outline: A <kind> request whose server in its home region <fails>
    Given a route with home region north and two servers, of which the first <fails>
    And the second server is in region <region>
    When a caller sends a <kind> request
    Then its response is <outcome>
    And the second server got <count> requests

    Examples:
      | kind      | fails                     | region | outcome          | count |
      | safe      | answers                   | south  | an answer        | 0     |
      | safe      | closes the connection     | south  | 502              | 0     |
      | safe      | closes the connection     | north  | an answer        | 1     |
      | safe      | takes no request          | south  | 503 no_server    | 0     |
      | resumable | closes after 2 events     | south  | a broken stream  | 0     |
      | resumable | closes after 2 events     | north  | the whole stream | 1     |

  # Guards against a refused request that ran, or whose caller isn't told what to
  # correct.
  Scenario: No region that the home regions allow has a server
    Given a route with home region west and two servers, of which the first answers
    When a caller sends a safe request
    Then its response is 503 no_home_region
    And the answer says that the request has not run and that the lists are to be corrected
    And the refusal is counted for its route and account
    And the second server got 0 requests

  # Guards against callers who come back too early, as a server that their request
  # can't reach takes requests.
  Scenario: The only server in the home region wants no requests for a time
    Given a route with home region north and two servers, of which the first wants none for 2 s
    When a caller sends a safe request
    Then its response is 503 no_server
    And the answer has a Retry-After of more than 1 s

  # Guards against requests to a drained failure domain, and against one that
  # gets none after its drain is undone. The first server is nearer.
  Scenario: All failure domains are drained, and one of the drains is undone
    Given two servers in failure domains of their own
    When the gateway knows of drained failure domains: here, there
    And a caller sends a safe request
    Then its response is 503 no_server
    And the answer has a Retry-After of more than 0 s
    When the gateway knows of drained failure domains: here
    And a caller asks 10 times in turn
    Then the second server got 10 requests
    When the gateway knows of drained failure domains: none
    And a caller asks 10 times in turn
    Then the first server got 10 requests

  # Guards against a retry that goes to a failure domain that was drained after
  # the first attempt.
  Scenario: A failure domain is drained while a request runs
    Given two servers, the second of which is drained as the first gets a request and fails
    When a caller sends a safe request
    Then its response is 502
    And the second server got 0 requests

  # Guards against a server that gets a request as its failure domain is drained
  # while the node asks for a permit.
  Scenario: A failure domain is drained while a request waits for its permit
    Given two servers, the second of which is drained as a permit for it is granted
    When a caller sends a safe request
    Then its response is an answer
    And the second server got 0 requests

  # Guards against nodes that go on sending as one of the ways fails by which the
  # operator's rows reach them: the store, the relay, the settings.
  Scenario: Two node processes follow drains and home regions
    Given 2 node processes before server s3 in zone-0 of region north and s4 in zone-1 of region south
    When the processes' operator drains zone-0
    Then later than 5 s after that s4 gets requests and all of them get an answer
    When a node is killed and starts again
    Then later than 0 s after that s4 gets requests and all of them get an answer
    When the processes' operator undoes the drain of zone-0
    Then s3 gets requests within 5 s
    When the processes' operator sets home region north
    Then later than 4 s after that s3 gets requests and all of them get an answer
    When the processes' operator sets home region east
    Then later than 4 s after that no server gets requests and all of them get no_home_region
