Feature: The tool, settings, logs, metrics and security

  Scenario: Every command of the tool works, in text and in JSON
    Given a cluster of 2 domains with 1 node each
    When the caller has received an answer and usage has been reported
    Then these commands exit with this status and print this text
      | command                             | status | prints                    |
      | check examples/declarations         | 0      | 0 faults                  |
      | profile list                        | 0      | front-desk                |
      | profile show front-desk             | 0      | tier = 0                  |
      | profile show nothing                | 5      | bilberryturn profile list |
      | profile set front-desk max_wait_s=9 | 0      | in force on 2 of 2 nodes  |
      | profile set front-desk nonsense     | 2      | OPTION=VALUE              |
      | key list                            | 0      | workshop-laredo           |
      | key grant nobody                    | 5      | is not declared           |
      | key withdraw ffffffff               | 5      | bilberryturn key list     |
      | account list                        | 0      | head-office               |
      | account usage workshop-laredo       | 0      | front-desk                |
      | vm list                             | 0      | engine-santander          |
      | vm leave engine-santander           | 0      | in force on 2 of 2 nodes  |
      | vm join engine-santander            | 0      | in force on 2 of 2 nodes  |
      | vm leave nothing                    | 5      | bilberryturn vm list      |
      | backend list                        | 0      | tatami-small              |
      | backend drain engine-oviedo         | 0      | in force on 2 of 2 nodes  |
      | backend undrain engine-oviedo       | 0      | in force on 2 of 2 nodes  |
      | status                              | 0      | usage-reporter            |
      | explain {request}                   | 0      | granted                   |
      | explain unknown-1                   | 5      | Ask the node              |
      | config log                          | 0      | ana                       |
      | config show 1                       | 0      | version 1 by ana          |
      | config show 9999                    | 5      | bilberryturn config log   |

  Scenario: An operator without a valid token is refused
    Given a cluster of 1 domains with 1 node each
    Then the tool with an invalid token exits with status 5 and names "BILBERRYTURN_TOKEN"
    And the tool with an unreachable node exits with status 6 and names "--node"

  Scenario: A key is granted, used and withdrawn with the tool
    Given a cluster of 2 domains with 1 node each
    When a key is granted with the tool, used, and withdrawn during a stream
    Then the stream has ended and the key is refused

  Scenario: One check of the settings reports all faults
    Then one check of the settings reports all these faults
      | section  | line                    | number | names                   |
      | node     | nane = x                | E102   | Did you mean `name`     |
      | node     | caller_address = host:1 | E202   | an IP number and a port |
      | security | tls_certificate_file=x  | E203   | Create the file         |
      | security | tls_certificate_file=x  | E206   | Set both                |
      | timing   | lease_ttl_s = soon      | E103   | a number                |
      | limits   | max_body_bytes = -1     | E105   | zero or more            |
      | logging  | level = loud            | E204   | debug, info             |
      | tming    | a = 1                   | E201   | Did you mean [timing]   |

  Scenario: A signal reloads settings, and invalid ones are rejected
    Given a cluster of 1 domains with 1 node each
    When the body size limit is lowered to 300 bytes and the node reloads its settings
    Then a body of 2000 bytes is refused
    When the settings contain a fault and the node reloads them
    Then the log contains event 1005 and a body of 200 bytes is accepted

  Scenario: Log lines carry event numbers and contain no key, prompt or answer
    Given a cluster of 2 domains with 1 node each
    When requests with a marked prompt have succeeded and failed
    Then each log line is JSON with an event number of the catalogue
    And no log contains the marked prompt, an answer or the key

  Scenario: Metrics have histograms by tier and account
    Given a cluster of 1 domains with 1 node each
    When the caller has received an answer and usage has been reported
    Then the metrics contain
      | text                                            |
      | bilberryturn_first_token_seconds_bucket         |
      | bilberryturn_token_gap_seconds_bucket           |
      | bilberryturn_queue_wait_seconds_bucket          |
      | bilberryturn_account_first_token_seconds_bucket |
      | client_account="workshop-laredo"                |
      | tier="0"                                        |
      | bilberryturn_requests_total                     |
      | bilberryturn_tokens_total                       |
      | bilberryturn_pool_running                       |
      | bilberryturn_lease_held                         |

  Scenario: The docs name every event, option, command and metric
    Then docs/EVENTS.md names every event
    And docs/REFERENCE.md names every setting, declared option, command and metric

  Scenario: Callers can be served over TLS
    Given a cluster of 1 domain with TLS for callers
    Then a caller that trusts the certificate gets an answer
    And a caller without TLS gets no answer

  Scenario: Peers with unknown keys cannot send control messages
    Given a cluster of 1 domains with 2 nodes each
    When a peer with unknown keys sends heartbeats to a node
    Then the node's member list holds only nodes of the cluster

  Scenario: Slow senders do not delay other callers
    Given a cluster of 1 domains with 1 node each
    When 60 connections send an incomplete request each
    Then the caller still gets an answer

  Scenario: A job continues after its interval function or its work has failed
    When a job's work and its interval function each raise an exception
    Then the job has run 5 times despite the exceptions
