Feature: Contracts of the external interfaces
  The same clauses can be run against another implementation by replacing the
  one module that implements the client of the interface.

  Scenario Outline: The <interface> keeps its contract
    Given the stand-in of the platform
    Then the <interface> keeps each clause
      | clause |
      | <a>    |
      | <b>    |
      | <c>    |
      | <d>    |

    Examples:
      | interface      | a                      | b                        | c                          | d                       |
      | table service  | reads what is written  | refuses a stale version  | scans in pages and order   | errors are typed        |
      | table service  | may commit unanswered  | writes all or nothing    | absent rows have version 0 | a slow answer times out |
      | object store   | returns what is stored | returns None if absent   | errors are typed           | replaces an object      |
      | VM list        | lags behind            | shows leaving VMs        | errors are typed           | rejects invalid entries |
      | ordering       | accepts an order       | is idempotent            | refuses old numbers        | may ignore old numbers  |
      | usage intake   | accepts a report       | refuses old numbers      | may ignore old numbers     | errors are typed        |

  Scenario Outline: An engine keeps its contract: <clause>
    Given the stand-in of an engine
    Then the engine keeps the clause: <clause>

    Examples:
      | clause                          |
      | whole and streamed are equal    |
      | events are numbered             |
      | a stream can be resumed         |
      | a stream can be cancelled       |
      | a message can be continued      |
      | priorities are honoured         |
      | the batch is limited            |
      | the load report lags            |
      | cached prefixes are counted     |
      | cache events lag and have gaps  |
      | KV cache is exported            |
      | old orders are refused          |
      | old orders may be ignored       |
      | a model can be loaded           |
      | a role can be changed           |
      | a poisoned prompt crashes it    |

  Scenario Outline: The fault proxy can <mode>
    Given the stand-in of an engine
    Then a request through the proxy under "<mode>" gets <result>

    Examples:
      | mode      | result               |
      | none      | an answer            |
      | delay     | an answer, later     |
      | drop      | no answer            |
      | half_open | no answer            |
      | freeze    | an answer afterwards  |
      | cut       | a broken connection  |
