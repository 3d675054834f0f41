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
