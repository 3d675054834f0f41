Feature: Non-repeatable calls run at most once
  Seed 11 for every scenario; the service counts its executions.

  Scenario Outline: <fault>
    Given a cluster of 2 domains with 1 node each
    When a booking is sent under the fault: <fault>
    Then the caller first gets <first>
    When the caller sends the booking again through the other entry
    Then the caller then gets <then>
    And the service has executed the booking <executions>

    Examples:
      | fault                                | first                              | then                             | executions   |
      | none                                 | the answer                         | the recorded answer              | once         |
      | table answer to start lost           | the answer                         | the recorded answer              | once         |
      | table answer to finish lost          | the answer                         | the recorded answer              | once         |
      | service disconnects before answering | 502 backend_failed may have run    | 409 outcome_unknown may have run | once         |
      | service disconnects in its answer    | 502 backend_failed may have run    | 409 outcome_unknown may have run | once         |
      | service ends in an unframed answer   | 502 backend_failed may have run    | 409 outcome_unknown may have run | once         |
      | service is replaced in an answer     | 502 backend_failed may have run    | 409 outcome_unknown may have run | once         |
      | service answers too late             | 504 deadline_exceeded may have run | 409 outcome_unknown may have run | once         |
      | entry killed after dispatch          | a broken connection                | 409 outcome_unknown may have run | once         |
      | entry killed before dispatch         | a broken connection                | anything                         | at most once |
      | table down                           | 503 store_unavailable not run      | the answer                       | once         |
      | table down after the lookup          | 503 store_unavailable not run      | anything                         | at most once |
      | service unreachable                  | 503 no_server not run              | the answer                       | once         |
      | key withdrawn during the call        | 401 key_not_valid may have run     | anything                         | once         |

  Scenario: The same booking sent to two entries at once runs once
    Given a cluster of 2 domains with 1 node each
    When 20 bookings are each sent to both entries at once
    Then the service has executed each of the 20 bookings once
    And each booking got at least one answer and no conflicting ones

  Scenario: An idempotency key of a different call is refused
    Given a cluster of 2 domains with 1 node each
    When one idempotency key is used for two different bookings
    Then the error is 422 "idempotency_key_reused" and reports "not run"
    And the service has executed the booking once

  Scenario: A repeatable call is retried on another server
    Given a cluster of 1 domains with 1 node each
    And two catalogue servers, one of which disconnects before every answer
    When 10 searches are sent
    Then every search is answered
