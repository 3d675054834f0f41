Feature: The path of a request
  A caller's request passes an entry node, a broker and a backend server.

  Background:
    Given a cluster of 2 domains with 1 node each

  Scenario: Model routes answer with and without streaming
    When the caller sends these requests with profile "front-desk"
      | route            | stream |
      | chat/completions | yes    |
      | chat/completions | no     |
      | completions      | yes    |
      | completions      | no     |
      | embeddings       | no     |
    Then each answer is complete and equals the engine's own

  Scenario: The model name selects the profile
    When the caller sends a chat request with model "profile:quote-draft" and no profile
    Then the answer is complete and equals the engine's own

  Scenario: The OpenAI client library works unchanged
    When an OpenAI client sends chat and embedding requests, streamed and not
    Then it gets the engine's own answers
    And failures raise the exceptions of the client library

  Scenario: Models, health and metrics are served
    Then these paths respond
      | path       | status | contains           |
      | /v1/models | 200    | profile:front-desk |
      | /healthz   | 200    | alive              |
      | /readyz    | 200    | ready              |
      | /metrics   | 200    | bilberryturn_      |

  Scenario Outline: An invalid request gets its own typed error: <case>
    When the caller sends an invalid request: <case>
    Then the error is <status> "<code>" and reports "not run"
    And no backend server has received a request

    Examples:
      | case               | status | code                    |
      | no key             | 401    | missing_key             |
      | unknown key        | 401    | key_not_valid           |
      | unknown profile    | 404    | unknown_profile         |
      | no profile         | 404    | unknown_profile         |
      | unknown model      | 404    | unknown_model           |
      | bad JSON           | 400    | invalid_body            |
      | JSON list          | 400    | invalid_body            |
      | no messages        | 400    | invalid_body            |
      | bad max_tokens     | 400    | invalid_body            |
      | body too large     | 413    | body_too_large          |
      | key in body        | 400    | key_in_request          |
      | key escaped        | 400    | key_in_request          |
      | key in query       | 400    | key_in_request          |
      | profile forbidden  | 403    | profile_not_allowed     |
      | unknown route      | 404    | unknown_route           |
      | wrong method       | 405    | method_not_allowed      |
      | unknown service    | 404    | unknown_service         |
      | no idempotency key | 400    | missing_idempotency_key |
      | path traversal     | 400    | invalid_body            |

  Scenario: A refused request with a body in chunks gets one answer
    When a caller sends a request with an unknown key and a body in chunks
    Then the caller gets status 401 and nothing behind it

  Scenario: A disconnect of the caller cancels generation on the engine
    Given every engine takes 0.05 seconds for a token
    When a caller disconnects in the middle of a stream of 400 tokens
    Then the engines stop generating

  Scenario: A slow reader does not make the node buffer the whole answer
    When a caller reads nothing of a stream of 20000 tokens for 3 seconds
    Then the memory of the node has not grown by more than 24 MB
