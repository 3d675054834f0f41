Feature: Node processes keep their invariants under random faults

  Scenario Outline: A short soak test: <work>, seed <seed>
    Then a soak of <duration> s of <work> with seed <seed> violates no invariant

    Examples:
      | work         | seed | duration |
      | any faults   | 1    | 8        |
      | any faults   | 2    | 8        |
      | planned work | 4    | 15       |
      | planned work | 5    | 15       |
