Feature: Usage is counted by one time of day, whatever the VMs' clocks show

  Scenario Outline: <fault>
    Given 5 nodes whose VMs' clocks differ by up to 40 ms
    When <fault>
    Then every window is reported once and holds the requests that began in it

    Examples:
      | fault                                                          |
      | no clock jumps                                                 |
      | all clocks jump 30 s ahead for 8 s                             |
      | half of the clocks jump 12 s back for 6 s                      |
      | the holder's clock jumps 4 s ahead for 6 s                     |
      | the holder's clock jumps 4 s back for 6 s                      |
      | all clocks jump 3 s back at the end of a window                |
      | a node starts while its clock is 30 s ahead                    |
      | a node starts while its clock is 30 s back                     |
      | the holder ends and its successor starts while clocks are ahead |
      | all clocks jump 30 s ahead while the store is unreachable      |
      | all nodes start again while their clocks are 20 s ahead        |

  Scenario: The shared time follows the VMs' clocks slowly
    Given 5 nodes whose VMs' clocks differ by up to 40 ms
    When all clocks are 2 s ahead for 300 s
    Then the shared time is at most 0.15 s ahead

  Scenario: A slow answer of the store does not move the clock
    Given a clock that has read the store's clock in 4 ms
    When an answer of the store takes 900 ms
    Then the clock has moved by less than 3 ms
