Feature: A stream goes on only at the software version that began it

  # Guards against an answer that is joined from two software versions.
  Scenario: A stream whose server ends goes on at a server of its version
    Given servers of versions v1, v2, v1 of which the first breaks streams off
    When a caller asks for a stream
    Then the answer is whole and all of it is from version v1

  Scenario: A stream breaks off if no other server has its version
    Given servers of versions v1, v2, v2 of which the first breaks streams off
    When a caller asks for a stream
    Then the answer is cut and all of it is from version v1

  Scenario: A stream that has not begun may begin at another version
    Given servers of versions v1, v2, v2 of which the first breaks answers off before any event
    When a caller asks for a stream
    Then the answer is whole and all of it is from version v2

  # Guards against memory that another software version goes on with.
  Scenario: A stream is moved only to an engine of its version
    Given servers of versions v1, v2 of engines that can be moved
    When a stream runs at version v1 and its engine is about to end
    Then the stream is not moved

  # Guards against a stream that another service of a split route goes on with.
  Scenario: A stream of a split route is taken up at the service that began it
    Given a route that is split between two services
    When 40 callers each begin a stream and take it up by its first request
    Then each stream has reached one service
