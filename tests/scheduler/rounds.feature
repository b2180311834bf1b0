Feature: A placement round yields to other greenlets

  Scenario: Many paused tasks are moved in several rounds
    # Guards against a round that keeps the leader from renewing its lease.
    Given a leader with 40 paused tasks on 20 workers
    And a search for room elsewhere takes 5 ms
    When the leader places once
    Then it has searched for room for 30 ms at most
    When the leader has placed 30 times
    Then all 40 tasks have been told to stop

  Scenario: The first worker with room is enough to move a task
    # Guards against rounds whose duration grows with the square of the fleet.
    Given a leader with 1 paused task on 200 workers
    Then it finds room elsewhere with a check of 5 workers at most

  Scenario: Other greenlets run in the middle of a long round
    # Guards against a round that keeps the leader from renewing its lease.
    Given a leader with 20 jobs to place, each of which takes 30 ms
    When the leader places once
    Then all 20 jobs have begun
    And others had a turn after each 80 ms at most

  Scenario: A job that is cancelled in the middle of a round is not started
    # Guards against unwanted starts, and against rows of the job being written again.
    Given a leader with 20 jobs to place, each of which takes 30 ms
    And all jobs are cancelled while the others have their first turn
    When the leader places once
    Then 2 of the jobs have begun

  Scenario: The pause after a long round is short
    # Guards against jobs that wait for seconds though the leader has nothing to do.
    Given a leader with 1 job to place, each of which takes 800 ms
    When the leader goes on placing
    Then it pauses for 150 ms at most after the round

  Scenario Outline: An urgent job does not wait for the best-effort ones
    # Guards against quotes that are late because a round of half a second, and the pause
    # after it, go to best-effort jobs that find no room.
    Given 30 best-effort jobs to place, each of which takes 20 ms
    And an urgent job comes while others have a turn <when>
    When the leader goes on placing
    Then the urgent job has begun within 40 ms

    Examples:
      | when            |
      | in the round    |
      | after the round |

  Scenario: A fault with an urgent job in the pause after a round stops nobody
    # Guards against one job that ends all placing until another instance leads.
    Given 30 best-effort jobs to place, each of which takes 20 ms
    And an urgent job comes while others have a turn after the round
    And placing the urgent job fails
    When the leader goes on placing
    Then it pauses for 150 ms at most after the round
    And failures of placing were counted

  Scenario: Starts that nobody answers do not hold up the renewal of the lease
    # Guards against a live leader that is deposed while it waits for silent workers.
    Given a leader with a job of 600 tasks, and workers that answer no start
    When it starts tasks for 3 s
    Then it has renewed its lease after each 400 ms at most
    And no more than 256 starts were under way at a time

  Scenario: Other greenlets run while a leader takes over
    # Guards against a leader that can't renew its lease while it reads jobs and
    # workers.
    Given 60 jobs and 60 workers, each of which takes 5 ms to read
    When another instance takes over from the leader
    Then others had a turn after each 100 ms at most
    And it knows 60 jobs and 60 workers

  Scenario: The best worker is found without a search through all
    # Guards against a choice that differs from that of a search through all workers.
    Then in whatever order scores change, the best worker is that with the highest
