Feature: Node processes keep their invariants under random faults

  Scenario Outline: A short soak test: seed <seed>
    Then a soak of <seconds> s with seed <seed> violates no invariant

    Examples:
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |
