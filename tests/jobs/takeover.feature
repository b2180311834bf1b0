Feature: Jobs whose creation is answered late
  The scan for jobs to take over finds the row of a job that this instance is just
  creating, before the submission learns that its write took effect.

  Scenario: The progress of a job never goes back as its submission returns
    Guards against a second record of the same job that replaces the first: its caller saw
    completed tasks become waiting again.
    Given an instance that creates a job of 3 tasks, and is answered late
    When it is submitted again and looked for, and tasks that run complete meanwhile
    Then no fewer tasks are completed once the submission has returned
    And it ends as completed, and each task was started once

  Scenario: A job that was cancelled before its submission returns leaves nothing running
    The caller has given up waiting and cancels the job. Guards against tasks that start
    once the job has ended as cancelled, and run on although nobody holds it.
    Given an instance that creates a job of 3 tasks, and is answered late
    When jobs are looked for to be taken over, and the job is cancelled meanwhile
    Then it ends as cancelled, and nothing runs 3 recordings after the submission
