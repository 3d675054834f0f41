Feature: A planned stop of a node process

  # Guards against a request that is taken late in a drain and cut at its end.
  Scenario Outline: No request is taken and given up <late>
    Given a node process with a grace period of 8 s
    And a caller that has begun to read a stream
    When the node gets SIGTERM
    And the caller sends a request <late> that its server never answers
    Then the caller gets an answer, or no server has received the request

    Examples:
      | late                                       |
      | behind the stream that ends after 3.7 s    |
      | behind the stream that ends after 7.0 s    |
      | ahead of the stream's end after 3.7 s      |
      | in two halves, after 2.5 s and after 3.7 s |

  # Guards against a request that is read, then dropped with its connection.
  Scenario Outline: A request sent ahead of the end of <response> is answered
    Given a node process with a grace period of 8 s
    When the node gets SIGTERM <delay> s after a caller has requested <response>
    And the caller sends a request ahead that its server answers at once
    Then the caller gets the whole answer

    Examples:
      | response             | delay |
      | a stream             | 0.3   |
      | a delayed response   | 0.3   |

  # Guards against a drain that ends too early within a short grace period.
  Scenario Outline: A grace period of <grace> s leaves a request five sixths of it
    Given a node process with a grace period of <grace> s
    When the node gets SIGTERM
    And a caller sends a request after <sent> s that its server answers after <end> s
    Then the caller gets the server's whole answer

    Examples:
      | grace | sent | end |
      | 8     | 2    | 6.4 |
      | 4     | 0.5  | 3.1 |

  Scenario: A request sent 2.5 s after SIGTERM gets a whole answer
    Given a node process with a grace period of 8 s
    When the node gets SIGTERM
    And a caller sends a request after 2.5 s that its server answers after 6.4 s
    Then the caller gets the whole answer

  # Guards against a node that handles the signal late and takes a request that
  # was sent when its cut is no longer excused.
  Scenario: A request sent 2.9 s after SIGTERM is served only if it ends in time
    Given a node process with a grace period of 8 s
    When the node gets SIGTERM
    And a caller sends a request after 2.9 s that its server answers after 7.9 s
    Then the caller gets an answer, or no server has received the request

  # Guards against a drain that overlooks answers still on their way.
  Scenario: A caller that reads slowly gets the whole answer
    Given a node process with a grace period of 8 s
    And a caller that has requested a large answer and reads none of it
    When the node gets SIGTERM
    And the caller reads the answer after 4.5 s
    Then the caller gets the whole answer

  # Guards against the default action of a signal that comes before its handler.
  Scenario: A node that gets SIGHUP while it starts goes on
    Given a node process with a grace period of 8 s
    When the node is killed and gets SIGHUP while it starts again
    Then the node becomes ready

  # Guards against handlers that end before the process does.
  Scenario: A node that gets signals throughout its stop ends as planned
    Given a node process with a grace period of 4 s
    When the node gets SIGTERM, then SIGHUP and SIGTERM until it has ended
    Then the node has ended with status 0

  # Guards against requests that are passed on in a stop and end with a closed
  # connection, so that their callers cannot tell whether they have run.
  Scenario Outline: A <kind> request sent <sent> s after SIGTERM whose server is silent
    Given a node process with a grace period of 4 s
    When the node gets SIGTERM
    And a caller sends a <kind> request after <sent> s that its server never answers
    Then the caller gets a whole answer by the end of the grace period
    And the answer promises nothing if a server has received the request

    Examples:
      | kind      | sent |
      | unsafe    | 0.5  |
      | unsafe    | 2.0  |
      | unsafe    | 2.8  |
      | safe      | 1.5  |
      | stream    | 1.5  |
      | resumable | 2.4  |

  # Guards against requests that wait behind one that is answered as the node
  # ends, and are dropped with its connection.
  Scenario: A request sent ahead of one whose server is silent
    Given a node process with a grace period of 4 s
    When the node gets SIGTERM
    And a caller sends two unsafe requests at once after 1 s whose server is silent
    Then the first one may have run, and the second one has not
