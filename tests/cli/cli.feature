Feature: The command line
  Operators and developers use an instance from a shell. Programs that call mangosail
  get the outcome of their work from the exit status.

  Scenario Outline: An invalid process setting is named with what was expected
    Given the variable "<variable>" is "<value>"
    When "serve <arguments>" is run
    Then it ends with status 2
    And the error output contains "<named>"

    Examples:
      | variable              | value | arguments                 | named                                                                                     |
      | MANGOSAIL_INSTANCE    | Nine  |                           | --instance (MANGOSAIL_INSTANCE): 'Nine': String should match                              |
      | MANGOSAIL_DATA_CENTRE | a     | --http-address here       | --http-address (MANGOSAIL_HTTP_ADDRESS): 'here': expected an IP address and a port         |
      | MANGOSAIL_SEED        | x     |                           | --seed (MANGOSAIL_SEED): 'x': Input should be a valid integer                             |
      | MANGOSAIL_SEED        | 1     | --peer-address 10.0.0.1:0 | --peer-address (MANGOSAIL_PEER_ADDRESS): '10.0.0.1:0': expected a port from 1 to 65535    |
      | MANGOSAIL_SEED        | 1     | --log-level loud          | --log-level (MANGOSAIL_LOG_LEVEL): 'loud': Input should be 'CRITICAL'                     |
      | MANGOSAIL_SEED        | 1     |                           | --platform-address (MANGOSAIL_PLATFORM_ADDRESS): Field required                           |

  Scenario: Settings are checked before use
    When "check" is run
    Then it ends with status 2
    When "check --file examples/fuel-desk.json" is run
    Then it ends with status 0
    When "check --file -" is run with the file '{"qota": {"cpus": 1}}'
    Then it ends with status 2
    And the error output contains "qota"

  Scenario: The status shows instances and workers, for people and for programs
    When "status" is run
    Then it ends with status 0
    And it prints "shymkent-0" and "taraz-0"
    And it prints "shymkent-w0" and "taraz-w1"
    And it prints "queued" and "withheld"
    When "status --data-centre taraz --json" is run
    Then the JSON lists only "taraz-0" with worker "taraz-w1" "taking" work

  Scenario: A peer that does not answer is shown as unreachable
    The peer's process is frozen, so its connections stay open but idle. The operator
    still gets the other instances within seconds, and sees which one is missing.
    Given the instance "taraz-0" is frozen
    When "status" is run
    Then it ends with status 0
    And it prints "taraz-0" and "unreachable"

  Scenario: A release is submitted, and a repeated id with another body is refused
    When "submit fuel/release --request-id c-1" is run with the input '{"tail": "A"}'
    Then it ends with status 0
    And it prints "completed" and "c-1"
    When "submit fuel/release --request-id c-1" is run with the input '{"tail": "B"}'
    Then it ends with status 1
    And the error output contains "body_conflict"

  Scenario: A release whose answer is lost is sent again, and runs once
    The connection is cut after the release was sent and before its answer arrives.
    The command must send it again under the same id, which returns the outcome of
    the first request instead of starting a second run.
    Given the connection is cut after 10 bytes of the answer
    When "submit fuel/release --request-id c-2" is run with the input '{"tail": "A"}'
    Then it ends with status 0
    And the error output contains "asking again"
    And the workers' logs show one start of "c-2"

  Scenario: A watch resumes after a dropped connection at the last event
    The connection is cut in the middle of an event. The command must not print the
    truncated event; it resumes after the last complete one and prints each once.
    Given the connection is cut after 250 bytes of the answer
    When "watch fuel/tail-watch C-1:4" is run
    Then it ends with status 0
    And the error output contains "resuming after event"
    And it prints the events 1 to 4, each once

  Scenario: A job shows its progress
    When "submit job" is run with the input '{"job_id": "c-j", "kind": "k", "tasks": 3, "needs": {"cpus": 1, "slots": 1}, "body": {"work_seconds": 0.2}}'
    Then it ends with status 0
    And the error output contains "/3 completed"
    When "jobs c-j" is run
    Then it prints ""completed":3" and "c-j"

  Scenario: All jobs are listed, also those after the first page
    Given 60 jobs were submitted
    When "jobs" is run
    Then it ends with status 0
    And it prints ""c-p00"" and ""c-p59""

  Scenario: The submit command ends when its job is cancelled
    The tasks of a cancelled job are neither completed nor failed. A command that
    waits until these two counts add up to all tasks would wait until its time-out.
    Given the job "c-k" will be cancelled when it runs
    When "submit job --wait 30" is run with the input '{"job_id": "c-k", "kind": "k", "tasks": 3, "needs": {"cpus": 1, "slots": 1}, "body": {"work_seconds": 50}}'
    Then it ends with status 1
    And the error output contains "the job ended: cancelled"

  Scenario: The status shows what is withheld for an earlier owner of a worker
    Then the row of a worker with 2 slots and 3 cores withheld shows them

  Scenario: Work is cancelled under its id, and never runs afterwards
    When "cancel c-9" is run
    Then it ends with status 0
    And it prints "cancelled" and "c-9"
    When "submit fuel/release --request-id c-9" is run with the input '{"tail": "A"}'
    Then it ends with status 1
    And the error output contains "not_run: cancelled"

  Scenario: Work that fails on its worker is reported as failed
    When "submit fuel/release --request-id c-7" is run with the input '{"fail": true}'
    Then it ends with status 1
    And the error output contains "the work ended"

  Scenario Outline: The exit status shows the kind of error
    Given the token is "<token>"
    When "<arguments>" is run
    Then it ends with status <status>
    And the error output contains "<named>"

    Examples:
      | token           | arguments                        | status | named                |
      | wrong           | status                           | 1      | token_unknown        |
      | reader-token    | drain                            | 1      | not_administrator    |
      | fuel-desk-token | drain                            | 1      | not_administrator    |
      |                 | status                           | 2      | MANGOSAIL_TOKEN      |
      | fuel-desk-token | submit fuel                      | 2      | SERVICE/OPERATION    |
      | fuel-desk-token | status --server nowhere          | 2      | --server             |
      | fuel-desk-token | status --server 127.0.0.1:1      | 3      | 127.0.0.1:1          |

  Scenario: The shell completes commands
    When "--show-completion" is run from bash
    Then it prints "_MANGOSAIL_COMPLETE" and "complete"
    When the shell completes "mangosail st"
    Then it prints "status" and ""

  Scenario: The administrator drains an instance
    Given the server is "taraz-0"
    And the token is "admin-token"
    When "drain" is run
    Then it ends with status 0
    And the process of "taraz-0" ends within 20 seconds
