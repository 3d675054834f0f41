Feature: Node processes keep their invariants under random faults

  Scenario Outline: A short soak test: <work>, seed <seed>
    Then a soak of <duration> s of <work> with seed <seed> violates no invariant

    Examples:
      | work                    | seed | duration |
      | any faults              | 1    | 8        |
      | any faults              | 2    | 8        |
      | any faults and restores | 7    | 10       |
      | planned work            | 4    | 15       |
      | planned work            | 5    | 15       |

  # Guards against a stream that looks complete with events missing: seed 6025
  # of any faults, where the proxy dropped bytes and forwarded those behind them.
  Scenario Outline: A connection stays silent once its bytes were lost: <mode>
    When a proxy is in mode <mode> while a server sends the second of three parts
    Then only the first part arrives

    Examples:
      | mode      |
      | half_open |
      | drop      |

  # Guards against an error in the log of a node: seed 7001 of planned work with
  # 60 nodes, where a peer connected just before the process ended.
  Scenario: A connection that arrives as the process ends causes no error
    When an internal server ends at several moments after a peer has connected
    Then it reports no error
