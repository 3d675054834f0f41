Feature: The platform's store comes back from an older copy
  What it had acknowledged since is gone, and versions are given out again.

  # Guards against changes that a node never learns of, as their version was
  # given out again before its next call.
  Scenario: A feed misses no change under versions that were given out again
    Given a node that follows a table up to a version that the store then loses
    When the store has given the same versions out again
    Then the node learns of all rows

  # Guards against a transaction that holds by accident in another history.
  Scenario Outline: A transaction that expects <what> of before the restore
    Given a node that has read a row that is then replaced by another one
    When it writes where it expects <what>, <when> it knows of the restore
    Then it is told that it <told>

    Examples:
      | what        | when   | told                |
      | the version | after  | was not performed   |
      | the version | before | may have taken part |

  # Guards against rows of two histories that are taken for one state.
  Scenario: A restore between two pages of a snapshot
    Given a table of 700 rows that the store restores between two pages
    Then a snapshot is refused, and the next one holds 600 rows

  # Guards against a usage window that is reported a second time with other
  # counts, as the row that tells is gone.
  Scenario Outline: Usage reports while the store is restored <condition>
    Given <count> seeded runs of three nodes with restores <condition>
    Then no window has two sets of figures

    Examples:
      | condition                              | count |
      | once                                   | 40    |
      | twice within seconds                   | 40    |
      | as holders are killed                  | 40    |
      | as nodes are cut off                   | 40    |
      | as nodes freeze                        | 40    |
      | as nodes are killed, cut off or frozen | 60    |

  # Guards against a fencing number that is given out twice, as the row that
  # counts them has gone back.
  Scenario Outline: Fencing numbers while the store is restored <condition>
    Given <count> seeded runs of three nodes with restores <condition>
    Then no fencing number has two holders or comes after a higher one
    And no two holders alternate within the lease's time to live

    Examples:
      | condition                              | count |
      | once                                   | 40    |
      | twice within seconds                   | 40    |
      | as holders are killed                  | 40    |
      | as nodes are cut off                   | 40    |
      | as nodes freeze                        | 40    |
      | as nodes are killed, cut off or frozen | 60    |

  Scenario: A node cut off from its start takes no lease that is free in the copy
    Given a store whose copy holds no lease
    And another node that has not reached the store for 10 s since its start
    When a node acquires the lease and the store is restored
    Then another node acquires it only when the holder's time is over

  # Guards against duties that nobody takes over for the lease's time twice, as
  # the wait for the holder before a restore and that for its row add up.
  Scenario: Duties are taken over soon after a restore without their holder
    Given a node that holds the duties lease
    When it ends, the store is restored and another node checks each 0.25 s
    Then that one holds the lease within 4 s

  # Guards against a node that takes the first era that it sees for the first one.
  Scenario: A node that is cut off from its start until after a restore
    Given a first node that reports windows, and another one that is cut off
    When the store is restored, the first node ends and the other one takes over
    Then no window has two sets of figures
    And the other one reports later windows

  # Guards against windows that are left out, or counts that are short, though
  # the node that knows them lives.
  Scenario: A holder that lives on reports all windows whole
    Then over 40 seeded runs with one restore after 2 s at most and no other fault each window is reported whole and in time

  # Guards against the same after a longer outage, in which the lease runs out.
  Scenario: All windows are reported whole after an outage of up to 5 s
    Then over 20 seeded runs with one restore and no other fault each window is reported whole and in time

  # Guards against a former holder that resumes under its fencing number, as the
  # restored row still names it.
  Scenario: A holder renews under a new fencing number after a restore
    Given a node that holds the duties lease
    When the store is restored and the node renews its lease
    Then it holds the lease under a higher fencing number without a gap

  Scenario: A lease that is free in the copy is not taken while its holder acts
    Given a store whose copy holds no lease
    When a node acquires the lease and the store is restored
    Then another node acquires it only when the holder's time is over

  # Guards against nodes that nobody finds any more, as each writes its address
  # only once.
  Scenario: Nodes know each other after a restore
    Given two nodes that have written their addresses, which the copy lacks
    When the store is restored and both nodes go on
    Then the store has both addresses
    And neither node has forgotten the other meanwhile

  # Guards against orders that follow other first sizes, or a time of day that
  # jumps, as the row that held them is gone.
  Scenario: What is written once is written again
    Given a holder that has recorded the first sizes and the time of day
    When the store is restored to a copy without them
    Then the holder records the same first sizes again
    And the holder records the same time of day again

  # Guards against a confirmed configuration that goes back to a replaced one, and
  # against one that never comes into force as its number is too low.
  Scenario Outline: The configuration in force when <case>
    Given a node that learns of the configurations <sequence>
    Then the configuration <result> is in force

    Examples:
      | case                                      | sequence                                                      | result |
      | the copy shows an older one               | feed 8@0, feed 16@0, store 8@1, wait 5                        | 16     |
      | the lost one is written again             | feed 8@0, feed 16@0, store 8@1, wait 2, feed 16@1, feed 18@1  | 18     |
      | all lost ones are written again in order  | feed 8@0, feed 12@0, feed 16@0, store 8@1, feed 12@1, wait 2  | 16     |
      | the operator goes on from the copy        | feed 8@0, feed 16@0, store 8@1, feed 11@1, wait 1             | 11     |
      | the node reads that later                 | feed 8@0, feed 16@0, store 11@1, wait 1                       | 11     |
      | the same number has other content         | feed 8@0, feed 16@0, store 8@1, feed 16b@1                    | 16b    |
      | the node never read the lost one          | feed 8@0, store 8@1, feed 11@1                                | 11     |
      | the node starts on the copy               | store 8@1, peer 16@0/0                                        | 16     |
      | a peer has not learned of the restore     | feed 8@0, feed 16@0, store 8@1, feed 11@1, wait 1, peer 16@0/0 | 11    |
      | a relay starts on the copy                | peer 8@0/0, peer 16@0/0, peer 8@1/-1, wait 5                  | 16     |
      | a relay has waited for a lower one        | peer 16@0/0, peer 11@1/1                                      | 11     |
      | the lost one is never written again       | feed 8@0, feed 16@0, store 8@1, wait 31                       | 8      |
      | so it is for a node behind a relay        | peer 8@0/0, peer 16@0/0, peer 8@1/1, wait 31                  | 8      |
      | the store is restored again meanwhile     | feed 8@0, feed 16@0, store 8@1, wait 1, store 8@2, wait 5     | 16     |
      | it is restored to a higher one            | feed 8@0, feed 16@0, store 8@1, wait 1, store 18@2            | 18     |
      | the store states no era                   | feed 8@-1, feed 16@-1, store 8@-1, wait 40                    | 16     |
      | a peer of an older release has a newer    | feed 8@3, peer 9@-1/-1                                        | 9      |

  # Guards against a request that is sent again, as the copy holds older reports
  # on its crashes than the node knows.
  Scenario: Reports of the copy replace no newer ones
    Given a node that knows 3 crashes of a request from another node
    When it reads a copy of the store in which that node reports 1
    Then it still refuses the request
    And it follows what that node writes later
