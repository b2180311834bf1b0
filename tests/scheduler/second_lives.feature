Feature: Workers that start again under their names

  A worker that crashed may keep its name. It then knows nothing of before; its clock and
  the numbers of its ends begin anew, and what it says of itself tells when it was born.

  Scenario: Ends of a second life are read before they are noted
    # Their tasks would run again. The numbers of the ends are lower than those seen before.
    Given 2 workers that keep their names
    And 6 jobs of short tasks that are done
    When each worker crashes and starts again
    And 6 more jobs of short tasks come, and 5 s go by
    Then every job is completed, and no task was started twice

  Scenario: Jobs go on at once where all workers start again
    # They would wait for as long as the earlier lives had lasted.
    Given 2 workers that keep their names
    When 60 s go by
    And 2 jobs of short tasks come, and run
    And each worker crashes and starts again
    And 3 s go by
    Then every job is completed

  Scenario: A start that was on its way to the first life runs once
    # The caller would see its order carried out twice.
    Given 2 workers that keep their names
    And a task whose start is late at one of them
    When that worker crashes and starts again
    And 2 s go by
    And the late start arrives in its second life
    And 3 s go by
    Then no task ran twice at a time
    And every job is completed

  Scenario: A start that the second life has answered is not over with the first
    Given 2 workers that keep their names
    When a worker crashes and starts again, and a job comes before that is known
    And 3 s go by
    Then no task ran twice at a time
    And every job is completed

  Scenario: A start whose record is written after its worker has started again
    # It would be stopped on the worker that it runs on next, for the one it was meant for.
    Given 2 workers that keep their names
    When jobs wait for the store, each worker starts again, and the store is back
    And 5 s go by
    Then every job is completed, and no task was started twice

  Scenario: An answer of the first life that comes late says nothing of the second
    Given 2 workers that keep their names
    And a task that runs in the second life of a worker
    When an answer of its first life comes late
    Then the task runs on, in the second life

  Scenario: The entry of the first life is written once more
    Given 2 workers that keep their names
    And a task that runs in the second life of a worker
    When the entry of its first life is written once more
    And 3 s go by
    Then the task was started once, and runs

  Scenario: A second life is not used before it has told what it has
    # It may be of another kind: fewer cores, other labels.
    Given 2 workers that keep their names
    When each worker crashes and starts again, and only its looks tell
    And 6 more jobs of short tasks come, and 1 s goes by
    Then nothing was started in a second life
    When each worker tells what it has, and 5 s go by
    Then every job is completed

  Scenario: A second life is used whose earlier entry had lapsed before
    # Jobs would wait beside it for as long as this leader leads.
    Given 2 workers that keep their names
    When each worker crashes, its entry lapses, and it starts again
    And 6 more jobs of short tasks come, and 5 s go by
    Then every job is completed

  Scenario: A lease that a look at the first life extended is waited out in the second
    # Its deadline stands on a clock that showed far more, so it runs for the longest term.
    Given 2 workers that keep their names
    When 60 s go by
    And each worker starts again while it is looked at, and gets a task, and falls silent
    And 12 s go by in which nothing ends by itself
    Then no task ran twice at a time

  Scenario: A task that crashes its workers is given up where they keep their names
    Given 5 workers that keep their names
    And 6 jobs of short tasks that are done
    When a job comes with a task that crashes each worker that starts it, and 30 s go by
    Then that job is failed, and the task was started less than 6 times

  Scenario: A task is given up whose crashes no leader has lived to see
    # The record names a worker; that another life of it answers the next leader can't tell.
    Given 5 workers that keep their names
    When the leader changes at each crash
    And a job comes with a task that crashes each worker that starts it, and 30 s go by
    Then that job is failed, and the task was started less than 6 times
