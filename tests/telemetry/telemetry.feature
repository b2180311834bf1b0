Feature: Metrics and logs
  Operators observe the program through metrics, and through one log line for each
  change of state.

  Scenario: The documented metrics are those of the code
    Given the metrics that the code can send
    Then docs/METRICS.md lists each of them, and no other
    And each name with a placeholder has its reasons listed

  Scenario: Counts are summed up and reach statsd
    Given a statsd server
    When 500 counts, 300 times and a gauge are recorded and flushed
    Then the server gets at most 3 packets
    And they add up to 500 counts, 50 times and the gauge

  Scenario: An unreachable statsd server does not block
    The server's port answers with "unreachable". Counting must not block, and the
    counts still appear in the status.
    Given a statsd server that is gone
    When 500 counts, 300 times and a gauge are recorded and flushed
    Then that took less than 1 second
    And the snapshot holds 500 counts

  Scenario: A log line is one JSON object that names its origin
    When a change of state is logged while request "r-7" is served
    Then the line names the instance, the data centre, the request and generation 3
    When a change of state is logged while no request is served
    Then the line names no request

  Scenario: An instance sends its times by class of work
    Given a statsd server
    And an instance that sends to it
    When a quote and a release are asked for
    Then the server is sent "mangosail.front.time.quote" and "mangosail.front.time.task"

  Scenario: A stalled reader of the log loses lines but does not block requests
    # The reader of standard output stops reading. Logging must not block, the queue
    # is bounded, and dropped lines are counted.
    Given a stalled reader of the log
    When 20000 lines of 50 events are logged
    Then that took less than 2 second
    When the reader resumes
    Then the lines dropped are counted, and with those written make 20000

  Scenario: A buffer full of lines with long texts of clients stays small
    Guards against a log whose lines are as long as the paths that clients send: a buffer
    bounded in lines alone took 64 MB for them.
    Given a stalled reader of the log
    When 4000 lines with a path of 16000 characters are logged
    Then the buffer holds less than 4 MB

  Scenario: The metrics address serves counters and times
    Given a process that has counted and timed
    Then the metrics address shows 3 refusals and 3 times

  Scenario: A job is explained from the logs of several instances
    # The log collector adds a prefix to each line, and one line is cut off.
    Given logs of two instances about the jobs "aa" and "bb"
    When the job "aa" is explained
    Then its three lines come in order of time, and none of the other job
    When the job "aa" is explained with what happened around it
    Then the lost worker is shown between them
    When the job "cc" is explained
    Then the command fails and says that no line is about it

  Scenario: The times that jobs spent waiting are reported from the logs
    # Two jobs waited for a start, one of them lost a run with its worker, and a
    # third was never accepted.
    Given logs of three jobs of the queue "q"
    When all jobs are reported on
    Then the queue has 3 jobs, 1 completed, 2 open
    And half of them waited 2.00 s for a start
    And "waiting again: worker_lost" and "handed in: refused" are counted once
    When all jobs are reported on as JSON
    Then the JSON has the same figures by name
