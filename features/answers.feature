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
