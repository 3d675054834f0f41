Feature: A process whose event loop stands still is ended

  # Guards against a node that hangs for good, deaf to SIGTERM, as a call into a
  # library holds the interpreter's lock.
  Scenario: A callback that never returns holds the interpreter's lock
    Given a process with a watchdog of 0.5 s whose event loop matches a pattern without end
    Then the watchdog ends it
    And its standard error names the function that hangs

  # Guards against sound processes that are ended.
  Scenario Outline: A process that <does> is not ended
    Given a process with a watchdog of 0.5 s that <does>
    Then it ends by itself with status 0

    Examples:
      | does                                           |
      | is paused by a signal in a callback            |
      | waits in a callback                            |
      | uses much processor time in short callbacks    |
