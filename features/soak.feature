Feature: Real processes keep their promises under random faults

  Scenario Outline: A short soak: seed <seed>
    Then a soak of <seconds> s with seed <seed> breaks no promise

    Examples:
      | seed | seconds |
      | 1    | 8       |
      | 2    | 8       |
