Feature: Streams of servers that send other bytes than expected

  # Guards against pieces that are missing, as a stream is resumed behind events
  # that its caller was never sent.
  Scenario Outline: Whole events come in one read with <what>
    Given a gateway before a server that sends events 1 and 2, then in one write event 3 and <what>, and one that resumes
    When a caller requests the resumable stream of 6 events
    Then the caller has all 6 events once and in order, in a stream that is complete
    And the second server was asked to go on behind event 3

    Examples:
      | what                                 |
      | an error's head                      |
      | an error's text                      |
      | an event that is too large           |
      | event 3 again                        |
      | event 2 again                        |
      | an identifier that is an error's head |
      | an identifier of 5000 digits|
      | half of an event                     |

  # Guards against events that come twice, as a stream is resumed behind the last
  # identifier though its caller has events without one.
  Scenario Outline: Events that cannot be named are not resumed behind: <what>
    Given a gateway before a server that sends events 1 and 2, then in one write event 3 and <what>, and one that resumes
    When a caller requests the resumable stream of 6 events
    Then the caller has the events that were sent to it, in a stream that is incomplete
    And the second server was not asked

    Examples:
      | what                          |
      | an event without an identifier |
      | an event with an empty one     |

  # Guards against a stream that breaks off though nothing is wrong with it.
  Scenario: Comments and blank lines between events do not keep a stream from being resumed
    Given a gateway before a server that sends events 1 and 2, then in one write event 3 and a comment, and one that resumes
    When a caller requests the resumable stream of 6 events
    Then the caller has all 6 events once and in order, in a stream that is complete

  # Guards against a missing piece, as the attempt ends while its caller reads
  # nothing.
  Scenario: An attempt ends while an event waits for its caller
    Given a caller that takes no more bytes after event 1
    When events 2 and 3 are forwarded to it and the attempt is cancelled meanwhile
    Then the stream would be resumed behind event 1

  # Guards against a node that hangs for good, as the bytes of one stream take
  # time that doubles with each line to judge.
  Scenario Outline: A stream with <line ends> line ends and an error's head behind 12 events
    Given a gateway before a server that sends 12 events with <line ends> line ends and an error's head in one write
    When a caller requests the resumable stream, and then another one sends a safe request
    Then the first caller has the 12 events, in a stream that is incomplete
    And the other caller has its answer

    Examples:
      | line ends |
      | LF        |
      | CRLF      |
      | CR        |

  Scenario Outline: The work to judge <what> grows as its size
    Then each line of <what> is judged once and each byte read at most twice, from 1 KB to 1 MB and however it is cut

    Examples:
      | what                                |
      | events with LF line ends            |
      | events with CRLF line ends          |
      | events with CR line ends            |
      | events whose line ends are mixed    |
      | blank lines                         |
      | one event of many lines             |

  # Guards against streams that are held back or broken off, as their server
  # ends lines in another way.
  Scenario Outline: Events with <line ends> line ends are passed on as they come, byte by byte
    Then 40 events with <line ends> line ends, cut anywhere, are each yielded with their last byte and are unchanged together

    Examples:
      | line ends |
      | LF        |
      | CRLF      |
      | CR        |
      | mixed     |

  Scenario: A stream with any line ends is passed on as it is
    Given a gateway before a server that streams 6 events with mixed line ends
    When a caller requests the resumable stream of 6 events
    Then the caller has all 6 events once and in order, in a stream that is complete

  # Guards against an error's head that completes an event in which its server
  # broke off.
  Scenario: An error's head inside an event is no event
    Given a gateway before a server that sends events 1 and 2, then in one write event 3 and half of an event with an error's head, and one that resumes
    When a caller requests the resumable stream of 6 events
    Then the caller has all 6 events once and in order, in a stream that is complete

  # Guards against events of an engine that are joined or grow without end, in
  # the firms' own entry.
  Scenario Outline: The entry for models decodes events with <line ends> line ends
    Then an engine's 40 events with <line ends> line ends, cut anywhere, are decoded one by one

    Examples:
      | line ends |
      | LF        |
      | CRLF      |
      | CR        |
      | mixed     |

  Scenario: The entry for models ends a stream whose event grows without end
    Then an engine's event of more than 1 MB fails the attempt
