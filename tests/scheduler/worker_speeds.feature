Feature: Workers that take several times as long are detected

  A job ends with its last task. One slow worker in four, which answers every call at
  once, made nearly every job of a dozen tasks late.

  Scenario Outline: Slow workers are detected from the progress of their tasks
    # The load: jobs of 8 tasks, of 0.5 to 3 s, whose callers declare times that are off
    # by a factor of two; the tasks of a step differ by a factor of 1.3.
    Given 16 workers, of which <slow> take <times> times as long, under load
    When they are polled for <seconds> s
    Then at least <least> of the slow ones of 5 seeds get no short tasks
    And no more than <wrong> normal ones are taken for slow on any seed

    Examples:
      | slow | times | seconds | least | wrong |
      | 4    | 4     | 4       | 14    | 0     |
      | 2    | 6     | 4       | 9     | 0     |
      | 0    | 1     | 12      | 0     | 0     |
      | 16   | 4     | 4       | 0     | 0     |

  Scenario: A worker that was slow is tried again
    Given 16 workers, of which 4 take 4 times as long, under load
    When they are polled for 4 s
    And 10 s pass without a poll
    Then all workers get short tasks on each of 5 seeds

  Scenario Outline: A run on a slow worker is moved if it ends sooner elsewhere
    Given a task that is <done> percent done on a worker of a quarter of the speed
    Then it is <verdict> if it <saves> its progress

    Examples:
      | done | saves        | verdict  |
      | 50   | keeps        | moved    |
      | 50   | does not keep | moved   |
      | 80   | keeps        | moved    |
      | 80   | does not keep | left    |
