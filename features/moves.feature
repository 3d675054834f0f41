Feature: Running streams leave engines that end

  Scenario Outline: All cheap engines of a failure domain are reclaimed: an engine that <state>
    Then the streams of an engine that <state> are moved <when>

    Examples:
      | state                                  | when               |
      | stays                                  | never              |
      | ends in 2 s                            | at once            |
      | ends in 9 s                            | 6.5 s later        |
      | drains without a time, bound of 4 s    | 3 s later          |
      | is reported as leaving a second time   | at once            |

  Scenario Outline: A stream that runs on an engine that <answer>
    Given two engines, the first of which sends 2 events and <answer>
    When the first engine is reported to end in 2 s
    Then the caller of the stream sees <outcome>
    And the second engine received <second>

    Examples:
      | answer                           | outcome              | second                         |
      | moves the run                    | the whole stream     | the moved run behind event 2   |
      | refuses the move and goes on     | the whole stream     | nothing                        |
      | stops the run but has no copy    | a broken stream      | nothing                        |
      | ends without an answer           | a broken stream      | nothing                        |
      | moves a run that is used up      | a broken stream      | the moved run behind event 2   |

  Scenario: A stream is not moved once the retries are used up
    Given two engines, the first of which sends 2 events and refuses the move and goes on
    When the retry budget is used up and the first engine is reported to end in 2 s
    Then the caller of the stream sees the whole stream
    And the first engine was not asked to move it

  Scenario: Streams that are moved at the same time go to different engines
    Given two engines, the first of which sends 2 events and moves the run
    And a third engine and a second stream on the first engine
    When the first engine is reported to end in 2 s
    Then each of the other engines received one moved run

  # Guards against a stream that ends as complete where its run was stopped, as
  # its end shows in the end of its connection only.
  Scenario Outline: A stream without length or chunks closes <when>
    Given two engines, the first of which streams without length or chunks and <when>
    When the first engine is reported to end in 9 s and its streams are moved
    Then the caller of the stream sees <outcome>
    And the second engine received <second>

    Examples:
      | when                                             | outcome               | second                       |
      | before it answers that it moved the run          | the whole stream      | the moved run behind event 2 |
      | after it has answered that it moved the run      | the whole stream      | the moved run behind event 2 |
      | before it answers that it runs no such stream    | its events, complete  | nothing                      |
      | before it answers that it stopped without a copy | a broken stream       | nothing                      |
      | before it answers that another move goes on      | a broken stream       | nothing                      |
      | never answers                                    | a broken stream       | nothing                      |

  # Guards against a pause in a moved stream, as the end of its run is judged by
  # the server's other connections first.
  Scenario: A moved stream without length or chunks does not wait for other connections to end
    Given two engines, the first of which streams without length or chunks and closes before it answers that it moved the run
    And other connections are waited for 30 s
    When the first engine is reported to end in 9 s and its streams are moved
    Then the caller of the stream sees the whole stream
    And the second engine received the moved run behind event 2

  # Guards against a caller who is kept waiting for a move that no longer helps,
  # as the engine has stopped at the time limit.
  Scenario: A stream without length or chunks stops at its time limit during a move
    Given two engines, the first of which streams without length or chunks and stops at its time limit and never answers
    And the caller's time limit is 1.0 s
    When the first engine is reported to end in 9 s and its streams are moved
    Then the caller of the stream sees a broken stream
    And it sees that within 0.5 s after its time limit

  # Guards against a caller who has to send its request again, though its route
  # allows to resume the stream.
  Scenario: A resumable stream without length or chunks closes and its engine never answers
    Given two engines, the first of which streams without length or chunks and never answers
    But the route allows to resume streams
    When the first engine is reported to end in 9 s and its streams are moved
    Then the caller of the stream sees the whole stream
    And the second engine was asked to resume it behind event 2

  # Guards against memory that is held at two engines for a run that is over.
  Scenario Outline: The copy of a run that <ending> is freed
    Given two engines, the first of which streams in chunks and <ending>
    When the first engine is reported to end in 9 s and its streams are moved
    Then the first engine is asked to free the copy once
    And the second engine received nothing

    Examples:
      | ending                                   |
      | ends whole before its move is answered   |
      | loses its caller before its move is answered |

  # Guards against a run that a move takes out of its home regions, or into a
  # failure domain that the operator has drained.
  Scenario Outline: A stream is not moved to an engine in <where>
    Given streams that have to stay in region north
    And two engines, the first of which sends 2 events and refuses the move and goes on
    But the second engine is in <where>
    When the first engine is reported to end in 2 s
    Then the caller of the stream sees the whole stream
    And the first engine was not asked to move it
    And the second engine received nothing

    Examples:
      | where                    |
      | another region           |
      | a drained failure domain |

  # Guards against a request that reaches a drained failure domain with the copy
  # of its run, and against a copy there that is never freed.
  Scenario: The destination of a move is drained while the run is copied
    Given two engines, the first of which streams in chunks and closes after it has answered that it moved the run
    But the failure domain of the second is drained as a run is copied
    When the first engine is reported to end in 9 s and its streams are moved
    Then the caller of the stream sees a broken stream
    And the second engine received nothing
    And the first engine is asked to free the copy once
