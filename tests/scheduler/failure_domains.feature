Feature: The tasks of a job gather in one data centre

  Guards against a lost data centre, or worker, that delays nearly every job in flight.
  Data centres have 12 workers of 8 cores.

  Scenario Outline: Where the <condition>, tasks are placed as without the option
    Given data centres <centres>, with 8 cores in use in a
    When a job of <tasks> tasks is placed
    Then its tasks are placed as without the option

    Examples:
      | condition                                         | centres | tasks        |
      | fleet has one data centre                         | a       | 6 short      |
      | widest step takes over a quarter of idle cores    | a, b, c | 13 short     |
      | widest step is a later one, and takes over that   | a, b, c | 4+13 short   |
      | tasks don't end on their own                      | a, b, c | 4 continuous |

  Scenario: Jobs that begin in the same moment are divided among the data centres
    # Guards against idle cores that are summed once and send all jobs to one place.
    Given data centres a, b, c, with 2 cores in use in a
    When 9 jobs of 4 short tasks are placed
    Then the tasks are in: 12 a, 12 b, 12 c

  Scenario Outline: <kind> tasks prefer few workers of the home
    # Guards against one worker that fails what it starts and uses up an attempt of each
    # task, against best-effort tasks that slow each other down, and against a bonus that
    # outweighs latency-critical tasks, data or constraints.
    Given data centres a, b, c, with 66 cores in use in a, 4 in c
    And 3 workers with latency-critical tasks in b
    When a job of <count> <kind> tasks is placed
    Then the tasks are in: <where>
    And they are on <workers> workers
    And <beside> of them are beside latency-critical tasks

    Examples:
      | kind           | count | where | workers | beside |
      | short          | 1     | 1 b   | 1       | 1      |
      | short          | 2     | 2 b   | 1       | 2      |
      | short          | 3     | 3 b   | 2       | 3      |
      | short          | 5     | 5 b   | 2       | 5      |
      | best-effort    | 6     | 6 c   | 3       | 0      |
      | one-per-worker | 4     | 4 b   | 4       | 3      |
      | gang           | 4     | 4 b   | 2       | 4      |
      | one-rack       | 4     | 4 b   | 2       | 4      |
      | near-a         | 4     | 4 a   | 4       | 0      |
      | near-c         | 4     | 4 c   | 2       | 0      |

  Scenario Outline: The next step of a job whose home <event>
    # Guards against tasks that wait for the home, or go to one that is being lost.
    Given data centres a, b, c, with 8 cores in use in a, 16 in c
    When a job of 4+4+10 short tasks is placed
    And its home <event>
    And the next step of <count> tasks is placed
    Then the tasks are in: <where>
    And they are on <workers> workers

    Examples:
      | event                               | count | where     | workers |
      | is as before                        | 10    | 14 b      | 4       |
      | has 68 cores more in use            | 10    | 2 a, 12 b | 12      |
      | is closed                           | 4     | 4 a, 4 b  | 4       |
      | is draining                         | 4     | 4 a, 4 b  | 4       |
      | has 7 unreachable workers           | 4     | 4 a, 4 b  | 4       |
      | has 6 unreachable workers           | 4     | 8 b       | 4       |
      | is to be found out by a next leader | 4     | 8 b       | 2       |
