Feature: An answer that ends early is not taken for a whole one

  # Guards against a success with an empty or short body, as the server stopped
  # in the middle of the head of its answer and closed.
  Scenario Outline: An answer cut in its head, <end>, to a <kind> request
    Given a gateway before a server that cuts its answers in their head and <end>
    When a <kind> request is sent for each byte at which a head can be cut
    Then no caller gets a success

    Examples:
      | end    | kind      |
      | closes | safe      |
      | closes | unsafe    |
      | closes | stream    |
      | closes | resumable |
      | resets | safe      |
      | resets | unsafe    |
      | resets | stream    |

  # Guards against the same on the path of the firms' own VMs, and in answers of
  # the platform.
  Scenario Outline: A client of <what> that gets an answer cut in its head
    Given a server that cuts its answers in their head and closes
    When a client of <what> calls it for each byte at which a head can be cut
    Then each call has failed

    Examples:
      | what            |
      | backend servers |
      | the platform    |

  # Guards against answers whose length is unknown that are cut, or taken for cut
  # though they are whole.
  Scenario Outline: An answer without length or chunks that <end>
    Given a gateway before a server whose answers have no length and that <end>
    When a caller sends a <kind> request
    Then the caller sees <outcome>

    Examples:
      | end                        | kind   | outcome                   |
      | close behind the body      | safe   | the whole answer          |
      | close behind the body      | unsafe | the whole answer          |
      | reset behind the body      | safe   | status 502 without a seal |
      | reset behind the body      | unsafe | status 502 without a seal |
      | close behind all events    | stream | the whole stream          |
      | close before the first one | stream | status 502 without a seal |

  Scenario Outline: A stream without length or chunks that <end> has been cut
    Given a gateway before a server whose answers have no length and that <end>
    When a caller sends a stream request
    Then the caller gets 5 events and notices that the stream was cut

    Examples:
      | end                     |
      | reset behind all events |
      | close inside an event   |

  # Guards against answers that look whole though their server's process ended
  # inside them, whatever is known of the server, and also if its address is in
  # use again at once.
  Scenario Outline: The process of a server ends in an answer without length to a <kind> request, and the server <state>
    Given a gateway before a server whose answers have no length and that close behind <part>
    When the server <state> while it answers a <kind> request, and its process ends
    Then the caller sees <outcome>

    Examples:
      | state                  | kind   | part       | outcome                   |
      | listens again          | safe   | the body   | status 502 without a seal |
      | listens again          | unsafe | the body   | status 502 without a seal |
      | listens again          | stream | all events | a cut stream              |
      | listens no more        | unsafe | the body   | status 502 without a seal |
      | listens no more        | stream | all events | a cut stream              |
      | is due to leave        | unsafe | the body   | status 502 without a seal |
      | is due to leave        | stream | all events | a cut stream              |
      | has drained for long   | stream | all events | a cut stream              |
      | is to leave in 9 s     | stream | all events | a cut stream              |
      | was removed            | unsafe | the body   | status 502 without a seal |
      | was removed            | stream | all events | a cut stream              |
      | has started again      | unsafe | the body   | status 502 without a seal |

  # Guards against whole answers that are taken for cut as their server leaves.
  Scenario Outline: The process of a server goes on behind an answer without length to a <kind> request, and the server <state>
    Given a gateway before a server whose answers have no length and that close behind <part>
    When the server <state> while it answers a <kind> request, and its process goes on
    Then the caller sees <outcome>

    Examples:
      | state                | kind   | part       | outcome                   |
      | listens again        | stream | all events | the whole stream          |
      | is due to leave      | safe   | the body   | the whole answer          |
      | is due to leave      | unsafe | the body   | the whole answer          |
      | is due to leave      | stream | all events | the whole stream          |
      | has drained for long | stream | all events | the whole stream          |
      | was removed          | unsafe | the body   | the whole answer          |
      | was removed          | stream | all events | the whole stream          |
      | listens no more      | unsafe | the body   | the whole answer          |
      | listens no more      | stream | all events | the whole stream          |
      | has started again    | unsafe | the body   | status 502 without a seal |
      | has started again    | stream | all events | a cut stream              |

  # Guards against a spare connection that the server closed as idle and that is
  # taken for a sign of its end, or never opened again.
  Scenario: A server closes idle connections sooner than its stream ends
    Given a gateway before a server whose answers have no length and that close behind all events of 1.5 s
    And the server closes idle connections after 0.3 s
    When a caller sends a stream request
    Then the caller sees the whole stream

  # Guards against a ready answer that is dropped as its judgement outlasts the
  # time limit of the request.
  Scenario Outline: An answer without length to a <kind> request ends before its time limit and is judged beyond it
    Given a gateway before a server whose answers have no length and that close behind <part> after 1.0 s
    And routes with a timeout of 1.4 s
    And other connections are waited for 0.8 s
    When a caller sends a <kind> request
    Then the caller sees <outcome>

    Examples:
      | kind   | part       | outcome          |
      | unsafe | the body   | the whole answer |
      | stream | all events | the whole stream |

  # Guards against a process that ends as above, on the system's own terms.
  Scenario Outline: A process is killed in <kind> requests and another one listens at once
    Given a gateway before a process whose answers have no length
    When the process is killed in each of 8 <kind> requests and another one listens at once
    Then no caller takes an answer for whole that isn't

    Examples:
      | kind      |
      | stream    |
      | resumable |
      | unsafe    |
      | safe      |

  # Guards against answers that look whole though their server ended inside them,
  # where the gateway has no second connection to the server.
  Scenario Outline: An answer without length or chunks to a <kind> request ends as its server <state>
    Given a gateway before a server whose answers have no length and that close behind <part>
    And the server takes one connection only
    When the server <state> while it answers a <kind> request
    Then the caller sees <outcome>

    Examples:
      | state                     | kind   | part       | outcome                   |
      | is due to leave           | safe   | the body   | status 502 without a seal |
      | is due to leave           | unsafe | the body   | status 502 without a seal |
      | is due to leave           | stream | all events | a cut stream              |
      | has drained for long      | stream | all events | a cut stream              |
      | is to leave in 9 s        | safe   | the body   | the whole answer          |
      | is to leave in 9 s        | stream | all events | the whole stream          |
      | was removed               | unsafe | the body   | status 502 without a seal |
      | was removed               | stream | all events | a cut stream              |
      | has started again         | unsafe | the body   | status 502 without a seal |
      | listens no more           | unsafe | the body   | status 502 without a seal |
      | listens no more           | stream | all events | a cut stream              |

  # Guards against an empty success, as a server ends behind the head.
  Scenario Outline: An answer without length or chunks and without a body, status <status>
    Given a gateway before a server that answers <status> and closes behind the head
    When a caller sends a safe request
    Then the caller sees <outcome>

    Examples:
      | status         | outcome                   |
      | 200 OK         | status 502 without a seal |
      | 404 Not Found  | status 502 without a seal |
      | 204 No Content | status 204 with its seal  |

  # Guards against a part of an answer that is taken for the whole, as the server
  # answers a long upload at once and breaks off while it is still being written.
  Scenario Outline: A server answers an upload of 3.9 MB without a length, then <breaks off>, to a <kind> request over HTTP/<version>
    Given a gateway before a server that answers uploads without a length, then <breaks off>
    When a caller uploads 3.9 MB in a <kind> request over HTTP/<version>
    Then the caller sees no whole success

    Examples:
      | breaks off                       | kind   | version |
      | resets                           | safe   | 1.1     |
      | resets                           | unsafe | 1.1     |
      | resets                           | unsafe | 1.0     |
      | resets                           | stream | 1.1     |
      | resets                           | stream | 1.0     |
      | closes with the rest unread      | unsafe | 1.1     |
      | closes with the rest unread      | stream | 1.1     |
      | ends its side and resets         | safe   | 1.1     |
      | ends its side and resets         | unsafe | 1.1     |
      | ends its side and resets         | unsafe | 1.0     |
      | ends its side and resets         | stream | 1.1     |

  # Guards against a sound answer to an upload that is taken for cut.
  Scenario Outline: A server answers an upload of 3.9 MB before it has read it, then reads the rest, to a <kind> request
    Given a gateway before a server that answers uploads without a length, then reads the rest and closes
    When a caller uploads 3.9 MB in a <kind> request over HTTP/1.1
    Then the caller sees <outcome>

    Examples:
      | kind   | outcome          |
      | unsafe | the whole answer |
      | stream | the whole stream |

  # Guards against a status that no answer can have and that reaches a caller.
  Scenario Outline: A server answers <status> to a <kind> request
    Given a gateway before a server that answers with the status line <status>
    When a caller sends a <kind> request
    Then the caller sees status 502 without a seal

    Examples:
      | status       | kind   |
      | 000 Trouble  | safe   |
      | 000 Trouble  | unsafe |
      | 000 Trouble  | stream |
      | 099 Trouble  | unsafe |
      | 42 Trouble   | unsafe |
      | 2000 Trouble | unsafe |
      | -20 Trouble  | unsafe |
      | 2O0 Trouble  | unsafe |
      | 600 Trouble  | safe   |
      | 600 Trouble  | unsafe |
      | 999 Trouble  | unsafe |
      | 999 Trouble  | stream |
