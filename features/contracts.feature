Feature: Contracts of the outside interfaces
  The same clauses can be run against another implementation by changing the
  one module that speaks the interface.

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
      | table service  | a lost answer may hold | writes all or nothing    | absent rows have version 0 | a slow answer times out |
      | object store   | returns what is stored | answers None for nothing | errors are typed           | replaces an object      |
      | VM list        | lags behind            | shows leaving VMs        | errors are typed           | bad entries are refused |
      | ordering       | accepts an order       | repeats harmlessly       | refuses old numbers        | may ignore old numbers  |
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
      | a continuation goes on          |
      | priorities are honoured         |
      | the batch is limited            |
      | the load report lags            |
      | cached prefixes are counted     |
      | cache events are late with gaps |
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
      | freeze    | an answer when mended |
      | cut       | a broken connection  |
