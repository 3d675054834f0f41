Feature: A part of a prompt crashes each server that begins to answer it

  # Guards against one part that crashes server after server, as no two requests
  # with it are alike.
  Scenario Outline: Requests that share a part <place> are no longer sent
    Given a gateway before 6 servers that crash as they answer a part <place>
    When 12 requests with it and 12 sound ones of the same account arrive in turn
    Then at most 8 requests with the part have reached servers
    And the refused ones are told that they have not run
    And all sound requests that share the other parts have their answer

    Examples:
      | place                          |
      | between other parts            |
      | at the beginning of the prompt |

  # Guards against crashes that go uncounted, as the server's connection had
  # carried a request before.
  Scenario: Crashes over connections that are reused count too
    Given a gateway that has an idle connection to such a server
    When 5 requests with the part arrive, each after the server has reconnected
    Then at most 3 requests with the part have reached servers

  # Guards against sound parts that are refused, or a cause found late, as the
  # evidence is ambiguous.
  Scenario Outline: Crashes <pattern>
    Then crashes <pattern> are put down to <causes>

    Examples:
      | pattern                                                   | causes     |
      | of two servers                                            | nothing    |
      | of three servers at one moment                            | nothing    |
      | of three servers in two incidents                         | dead       |
      | under parts that always come together                     | dead       |
      | under a first part with ever other ones behind it         | dead       |
      | under a part and a sound one that was answered meanwhile  | dead       |
      | under a part and one that ran beside it three times       | dead       |
      | under two parts in turn                                   | dead, evil |
      | at two moments under a part that was answered before      | nothing    |
      | at three moments under a part that was answered before    | dead       |
      | of three servers before the part's last answer            | nothing    |
      | of a whole failure domain under busy parts                | nothing    |
      | under one request that its caller repeats                 | nothing    |
      | under a part in requests that their callers repeat once   | dead       |
      | under a part and a sound one behind it that stopped coming | dead       |

  Scenario: All nodes refuse a part from reports that each holds in part
    Given three nodes that each saw one of three crashes under a part
    Then none of them refuses it before they exchanged their reports
    And all of them refuse it after that, and a node that starts later too
    And they accept it again when the crashes have expired
    And a node whose reports were malformed changes nothing

  # Guards against answers that drop out of the reports before the crashes that
  # they clear do.
  Scenario Outline: A part that another node saw answered after its crashes <case>
    Then a part that another node saw answered after its crashes <case> is not refused

    Examples:
      | case                             |
      | and then nobody sent for 100 s   |
      | beside those of 50 other prompts |

  # Guards against long prompts whose first parts no node reports.
  Scenario: The first of many parts is found
    Given three crashes of prompts with 15 shared parts that have the first alone in common
    Then the first part is refused and the others are not

  # Guards against prompts of which a node reports some parts only, so that the
  # cause among the others is never found.
  Scenario Outline: One part of <count> that three prompts have in common is found at the <place>
    Given three nodes that each saw a crash of a prompt with <count> shared parts that have the one at the <place> alone in common
    When they exchange their reports
    Then all of them refuse that part and no other one

    Examples:
      | count | place     |
      | 15    | beginning |
      | 20    | beginning |
      | 20    | end       |
      | 400   | beginning |
      | 400   | middle    |
      | 400   | end       |

  Scenario Outline: A long prompt is found by its part at the <place> though its node has seen more than it can report
    Given 9 nodes of which each sees a crash of another prompt of 1300 shared parts in turn, with the one at the <place> alone in common
    Then all of them refuse that part and no other one after 1 crash of each, whatever its name

    Examples:
      | place     |
      | beginning |
      | middle    |
      | end       |

  # Guards against sound requests that are refused beside a deadly part, as most
  # of their many parts are missing among the reported answers.
  Scenario: Sound prompts that share all but one of 700 parts go on
    Given three nodes that each saw a crash in a conversation with 700 shared parts
    And a fourth one that saw it answered without the part in the middle
    When they exchange their reports
    Then all of them refuse the part in the middle and no other one

  Scenario Outline: The row of a node stays small: crashes of <count> prompts with <parts> <kind> parts
    Then a node that saw <count> crashes and answers of prompts with <parts> <kind> parts reports under 10000 bytes

    Examples:
      | count | parts | kind   |
      | 80    | 20    | other  |
      | 80    | 400   | other  |
      | 80    | 400   | equal  |
      | 80    | 1300  | other  |

  # Guards against a node that stops to report, as it saw a crash while its clock
  # was ahead.
  Scenario: Crashes of long prompts that a clock 10 s ahead has dated
    Given a node that saw crashes of prompts with 1300 shared parts while its clock was 10 s ahead
    Then it reports in each of the next 12 s

  # Guards against nodes whose event loop is busy with the search for causes.
  Scenario Outline: The search for causes in <count> crashes of 400 <kind> parts looks at few of them
    Then the search in <count> crashes of prompts with 400 <kind> parts looks at a part at most <limit> times

    Examples:
      | count | kind  | limit |
      | 60    | other | 20    |
      | 60    | equal | 20    |

  # Guards against names that callers make up: a row that the store takes no
  # more would keep the usage counts from being written with it.
  Scenario Outline: Prompts whose parts have names <names>
    Given a node that saw 80 crashes of prompts with parts whose names are <names>
    Then its reports are under 10000 bytes
    And another node that merges them refuses no part but the first

    Examples:
      | names          |
      | of 8 digits    |
      | of 3000 digits |
      | with colons    |
      | not in ASCII   |

  # Guards against times of a node whose clock was wrong before it knew the
  # shared one, which others would take for later than all crashes.
  Scenario Outline: A node whose clock was <error_s> s off as it started
    Given a node whose clock was <error_s> s off as it saw a part answered
    When three servers crash under the part and the nodes exchange their reports
    Then all of these nodes refuse the part

    Examples:
      | error_s |
      | 3600    |
      | -3600   |

  # Guards against requests that wait while the evidence is weighed again and
  # again, as reports of many nodes arrive.
  Scenario: Reports that keep arriving are weighed a few times a second only
    Given 100 nodes that report 400 crashes within 2 s
    Then a node that checks 800 requests meanwhile weighs them at most 30 times

  # Guards against the reports of a relay, which reads the store for the other
  # nodes of its failure domain, not reaching these.
  Scenario: All node processes refuse a part whichever of them saw its crashes
    Given 3 node processes of one failure domain before 3 servers that crash
    When each node in turn sees 3 crashes under a part of its own
    Then 5 s after the crashes the other nodes refuse each of the parts

  Scenario Outline: Random traffic with a deadly part at share <share>
    Then in <runs> seeded runs at share <share> the part is refused within 5 crashes and 4 s, and no sound part is

    Examples:
      | share | runs |
      | 0.05  | 20   |
      | 0.2   | 20   |
      | 0.5   | 20   |

  # Guards against answers that reach the other nodes after the crashes count.
  Scenario: Random traffic with a deadly part while reports take long
    Then in 60 seeded runs with an exchange of reports every 2.9 s the part is refused in time, and no sound part is

  Scenario Outline: Random traffic of prompts with 400 parts, the deadly one <place>
    Given 3 seeded runs of traffic with 400 parts, the deadly one <place>
    Then in each run the part is refused within 5 crashes and 4 s

    Examples:
      | place                        |
      | first, others never again    |
      | between parts of sound ones  |

  Scenario Outline: Sound prompts in random traffic of prompts with 400 parts, the deadly one <place>
    Given 3 seeded runs of traffic with 400 parts, the deadly one <place>
    Then in no run a sound part is refused

    Examples:
      | place                        |
      | first, others never again    |
      | between parts of sound ones  |
