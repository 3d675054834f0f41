Feature: Servers that fall silent for a while and go on

  # Guards against a server that is taken for ended, and a request that runs
  # again, as nothing comes from it for a moment.
  Scenario: Each server in turn is silent for 1.2 s
    Given 3 node processes in 3 failure domains before 5 servers
    When callers send 40 requests a second for 12 s, and each server in turn is silent for 1.2 s
    Then all requests are served
    And no node has taken a server for ended or for crashed
    And no request that may run once has run twice or was refused though it has run
    And no connection from a node to a server has a keep-alive timer

  # Guards against a keep-alive time that a user timeout shortens: as on Linux,
  # a user timeout that is set also decides when probes give up, whatever their
  # count.
  Scenario Outline: No user timeout shortens keep-alive on a connection <connection>
    Given an open connection: <connection>
    Then its user timeout is <user_timeout> ms and its keep-alive is <keepalive>
    And no keep-alive probe gives up earlier than its count says

    Examples:
      | connection                                  | user_timeout | keepalive |
      | of the gateway to a server                  | 5000         | off       |
      | of a caller to the gateway                  | 0            | off       |
      | of the gateway to another node              | 5000         | off       |
      | of another node to the gateway              | 0            | off       |
      | to the store                                | 0            | off       |
      | of the firms' entry to a server             | 0            | off       |
      | of a caller to the firms' entry             | 0            | off       |
      | of the control link to another node         | 0            | off       |
      | of another node to the control link         | 0            | off       |

  # Guards against a timer that ends a connection which is silent but whole. On
  # loopback the kernel acknowledges whatever the server does, so this doesn't
  # show what becomes of a connection whose path is lost.
  Scenario Outline: A connection on which a server is silent for <time> s goes on: <request>, <silence>
    Given a gateway before a server that is silent for <time> s: <silence>
    When the gateway gets <request>
    Then each is served over the same connection and has run once

    Examples:
      | time | request                        | silence                     |
      | 6.5  | one unsafe request             | before its answer           |
      | 6.5  | one stream request             | between two events          |
      | 6.5  | one resumable request          | between two events          |
      | 6.5  | two safe requests, 6.5 s apart | between two requests        |
      | 1.2  | one unsafe request of 3.9 MB   | before it reads the request |
      | 6.5  | one unsafe request of 3.9 MB   | before it reads the request |
