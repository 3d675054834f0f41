Feature: Failures that operators of similar systems have met

  Scenario Outline: A server sends <what> without end
    Given a gateway before a server that sends <what> without end
    When one caller sends a <kind> request to it and another one to a sound server
    Then the server's connection is closed after at most <limit> MB
    And the first caller gets no complete success
    And the other caller has its whole answer

    Examples:
      | what                              | kind   | limit |
      | a status line                     | safe   | 8     |
      | header fields                     | safe   | 8     |
      | informational responses           | safe   | 8     |
      | a body with a huge length         | safe   | 12    |
      | a chunked body                    | unsafe | 12    |
      | a chunk extension                 | unsafe | 8     |
      | trailers                          | unsafe | 8     |
      | a body that ends with the channel | unsafe | 12    |
      | an event                          | stream | 9     |
      | one line break in an event        | stream | 9     |

  Scenario Outline: Bytes without end <when> a whole answer
    Given a gateway before a server that sends bytes <when> its answer without end
    When one caller sends a safe request to it and another one to a sound server
    Then the server's connection is closed after at most 8 MB
    And the first caller has its whole answer

    Examples:
      | when            |
      | after           |
      | some time after |

  Scenario: Looking for the end of an event takes linear work
    Then 16 MB in pieces of 1 kB without an event boundary are refused after 1 MB and each byte is searched at most twice

  Scenario Outline: A second copy of an answer comes <when> the next request
    Given a gateway before a server that sends a second copy <when> the next request
    When one caller sends 6 safe requests in turn
    Then each of them got its own answer

    Examples:
      | when     |
      | before   |
      | with     |
      | after    |

  Scenario: A caller that sends without end while its request runs
    Given a gateway before a server that answers after 1 s
    When its caller goes on sending during the request
    Then the gateway accepts at most 8 MB of them
    And the caller gets its answer

  Scenario: A refused request behind an answer not yet read reaches no server
    Given a gateway before a server that sends large answers
    When a caller that reads nothing sends a request, then one with too large a body
    Then the server has received only the first request
    And the caller gets the whole answer, then status 413

  Scenario Outline: A stop finds a request <state>
    Given a gateway before a server that answers after 0.3 s
    When the gateway stops while a request is <state>
    Then the request is answered

    Examples:
      | state                    |
      | in a head half received  |
      | in a body half received  |
      | at its server            |

  Scenario: A slow but sound stream is not cut
    Given a gateway before a server that sends an event each 0.4 s
    When a caller requests that stream
    Then the caller has all events

  Scenario Outline: A stream that <stalls> ends at its time limit without success
    Given a gateway before a server that <stalls>
    When a caller requests that stream
    Then the stream is ended as incomplete within 3.6 s

    Examples:
      | stalls                                          |
      | sends an event, then a byte each 0.2 s          |
      | sends an event, then a line of comment each 0.2 s |

  Scenario Outline: An answer <broken> is no complete success for an HTTP/<version> caller
    Given a gateway before a server that sends an answer <broken>
    When an HTTP/<version> caller sends a <kind> request
    Then the caller can tell that it is incomplete

    Examples:
      | broken                                 | kind   | version |
      | cut between two chunks                 | stream | 1.1     |
      | cut between two chunks                 | stream | 1.0     |
      | cut after the last event               | stream | 1.1     |
      | cut after the last event               | stream | 1.0     |
      | reset instead of the end of a channel  | stream | 1.0     |
      | reset instead of the end of a channel  | unsafe | 1.1     |
      | cut inside its length                  | unsafe | 1.0     |
      | without a length that ends inside an event | stream | 1.1 |
      | without a length that ends inside an event | stream | 1.0 |
      | without a length that ends before an event | stream | 1.1 |
      | without a length that ends before an event | stream | 1.0 |

  Scenario: Malformed messages end neither a process nor its jobs
    Given a follower, a peer's port and a caller's port
    When 300 seeded malformed messages reach each of them
    Then the follower applies the next change
    And the ports answer the next request

  Scenario: An error while a reading is applied does not end the follower
    Given a stand-in of the users' store with one server
    When applying the first reading raises an error
    Then the follower reads all rows again and applies them

  # Guards against callers that are told "not run" of a request that runs, or a
  # second run of it, as an earlier refusal comes once more.
  Scenario Outline: An earlier refusal <copy> comes on a kept connection
    Given a gateway before a server that writes an earlier refusal <copy> before its second answer
    When its caller sends 2 <kind> requests one after another
    Then none of them is refused
    And no request that was answered there ran elsewhere

    Examples:
      | copy                   | kind      |
      | once more              | safe      |
      | twice more             | safe      |
      | twice more             | resumable |
      | five times             | safe      |

  Scenario: A refusal that names no request comes on a kept connection
    Given a gateway before a server that writes an earlier refusal without an id before its second answer
    And no other server is there
    When its caller sends 2 safe requests one after another
    Then none of them is said not to have run

  # Guards against an error's text in the middle of a stream, and against a broken
  # stream that ends as if it were complete.
  Scenario Outline: A stream broke off and the next server <answers>
    Given a gateway before servers of which one breaks off a stream and the next <answers>
    When a caller requests the resumable stream
    Then the caller has exactly the events before, in a stream that is incomplete

    Examples:
      | answers                                  |
      | answers with status 500                  |
      | answers with status 400                  |
      | refuses the request                      |
      | answers 200 with an error in JSON        |
      | answers 200 with an error in lines       |
      | answers 200 without a body               |
      | begins with the first event again        |
      | writes an error's head into the stream   |
      | writes an error's text into the stream   |

  Scenario: A stream that broke off before its end is completed by the next server
    Given a gateway before servers of which one breaks off a stream and the next has nothing left to send
    When a caller requests the resumable stream
    Then the caller has exactly the events before, in a stream that is complete
