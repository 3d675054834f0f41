Feature: Nodes that reach no server

  # Guards against nodes that fail nearly all requests while they are cut off
  # from the servers, although other nodes reach them.
  Scenario Outline: <nodes> are cut off from all servers, and <way>
    Given 9 node processes in 3 failure domains before 5 servers
    When callers send 20 requests a second, and from 2 s to 10 s <nodes> are cut off from all servers: <way>
    Then no request that may run once has run twice or was refused though it has run
    And from 2 s after the end of the cut all requests are served
    And from 4 s after its begin the cut nodes serve at least two thirds as often as the others
    And no node has failed in a way that it does not handle

    Examples:
      | nodes                      | way                                                 |
      | three nodes of two domains | connections go silent                               |
      | three nodes of two domains | connections are reset                               |
      | three nodes of two domains | open connections go on and new ones are reset       |
      | all nodes of a domain      | connections go silent                               |
      | seven nodes                | connections go silent                               |

  # Guards against a request that ends with a closed connection, without an
  # answer, as the connection to its server is reset before its options are set.
  Scenario: Connections to a server that resets them at once
    Given a server that resets each new connection
    When a node opens 1000 connections to it
    Then each is open or has failed as connections do
