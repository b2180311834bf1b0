Feature: More workers than a leader can attend to
  What a leader can't carry it must not take on. With 3,000 workers each leader renewed
  its lease too late, 1.0 to 1.3 s after the last time in place of 0.3 s, as the looks at
  all workers had the processor to themselves; the next one took on as many, eight
  leaders in 20 s. Meanwhile leases of workers ran out, and callers saw accepted jobs of
  which nothing ran.

  Scenario Outline: A leader takes on what its processor and its descriptors allow
    Then a leader of <cores> cores and <descriptors> descriptors attends to <workers> workers

    Examples:
      | cores | descriptors | workers |
      | 0.297 | 4100        | 300     |
      | 1.07  | 4100        | 428     |
      | 2.15  | 2000        | 400     |
      | 2.15  | 8192        | 860     |

  Scenario: Some workers of each rack are within reach
    A task may ask for a rack. Were the first workers by name taken, whole racks would
    be left out, and such a task would wait for ever.
    Then of 3000 workers in 375 racks the 1505 that are chosen are 4 or 5 in each rack

  Scenario: Callers are served by the workers within reach, and others take their place
    Given 12 workers in 6 racks, of which a leader attends to 6
    When a job of 12 tasks is handed in
    Then 12 tasks run on 6 workers of 6 racks
    When 2 of the workers without tasks are added, and 3 with tasks crash
    Then 6 workers are attended to, and the job ends

  Scenario: Nothing that an earlier leader started is left alone
    The leader of a larger reach dies. The next one attends to fewer workers; each one
    that runs something is among them, so that its lease goes on and its end is seen.
    Given 12 workers in 6 racks, of which a leader attends to 12
    When a job of 48 tasks is handed in
    And a leader that attends to 4 workers takes over, and 6 s pass
    Then 48 tasks run on 12 workers of 6 racks
    When each of these tasks ends
    Then 4 workers are attended to, and the job ends

  Scenario: A leader of 3,000 workers goes on renewing its lease
    Then with 3000 workers listed, 1505 are looked at, and each of the others not once
