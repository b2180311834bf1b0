Feature: Workers whose capacity changes while they run

  A worker's entry shows the capacity that it has now. The worker may start whatever it
  is told to, so the leader must not exceed that capacity.

  Scenario: A worker whose capacity shrank gets no more than it has
    # Guards against a start that brings the worker over its capacity.
    Given a worker of 8 cores
    When it runs 2 tasks of 2 cores, shrinks to 4 cores, and 4 tasks more come
    Then it runs 2 tasks

  Scenario: A worker whose capacity has grown again gets as much as before
    # Guards against jobs that wait beside free cores for as long as this leader leads.
    Given a worker of 4 cores
    When it runs 2 tasks of 2 cores, grows to 8 cores, and 4 tasks more come
    Then it runs 4 tasks

  Scenario: A start is not sent if the capacity shrank while its record was written
    Given a worker of 8 cores
    When 4 tasks wait for the store, the worker shrinks to 4 cores, and the store is back
    Then it runs 2 tasks
    When it grows to 8 cores, and 1 s passes
    Then it runs 4 tasks
