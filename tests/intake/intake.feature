Feature: Any instance takes jobs in, and says only what is true of them

  Scenario: A job that is handed in again is accepted once
    Given an instance at the store
    When a job is handed in
    And the same job is handed in at another instance
    Then both callers are told that it was accepted
    And the store holds one job

  Scenario: A job is known from its storing on
    Given an instance at the store
    When a job is handed in
    Then its state is queued
    And another job is not known

  Scenario: A refusal is said only of what was never stored
    # The caller is told that its order never runs. The store says that it did nothing.
    Given an instance at the store
    And the store refuses
    When a job is handed in
    Then the caller is told that it was refused, and when to come back
    And the store holds no job

  Scenario: A hand-in whose fate is not known is neither accepted nor refused
    # The caller must send its order again. The store's answer is lost, the write takes
    # effect later; "refused" would be false.
    Given an instance at the store
    And the store carries writes out late
    When a job is handed in
    Then the caller is told that the outcome is not known
    When the late writes arrive
    Then the store holds one job

  Scenario: A lost answer is found out by asking again
    Given an instance at the store
    And the store loses the answer to one write
    When a job is handed in
    Then the caller is told that it was accepted

  Scenario: A hand-in whose answer never comes is accepted soon
    # The caller would have to ask again after a second. The write takes effect and its
    # connection stays silent; the store itself says that the job is there.
    Given an instance at the store
    And the store leaves one write unanswered
    When a job is handed in
    Then the caller is told within 1 second of real time that it was accepted

  Scenario: An instance that knows the store to be away refuses at once
    # The caller used to be kept for 2.5 seconds and then told nothing certain.
    Given an instance at the store
    And the instance has not heard of the store for long
    When a job is handed in
    Then the caller is told that it was refused, and when to come back
    And nothing was sent to the store

  Scenario: A continuous job that is overtaken for too long is refused, truly
    # Hundreds of continuous jobs are handed in at once, and each acceptance changes the
    # row that all of them check. The caller was told that its job was accepted once its
    # time was over, though no attempt had stored it; asked for, the job was unknown.
    Given an instance at the store
    And continuous jobs may take 1000 cores
    And other instances take room before each of its writes
    When a continuous job is handed in and time passes
    Then the caller is told that it was refused, and when to come back
    And the job is not stored

  Scenario: Continuous jobs are accepted up to their bound, at all instances together
    Given an instance at the store
    And continuous jobs may take 20 cores
    When continuous jobs of 8 cores are handed in at 4 instances
    Then 2 of them are accepted and 2 are refused

  Scenario: A continuous job is accepted again although the room is taken
    Given an instance at the store
    And continuous jobs may take 20 cores
    When a continuous job and takes 16 cores is handed in twice
    Then both callers are told that it was accepted

  Scenario: The bound on continuous work holds while leaders change
    # Callers' quotes would find no room: between two leaders all that lasts was let in.
    Given an instance at the store
    And continuous jobs may take 20 cores
    When another instance takes the lease
    Then continuous jobs may still take 20 cores

  Scenario: A cancelled job is asked for by its row
    Given an instance at the store
    When a job is handed in
    And the job is cancelled by its caller
    Then the store holds the request to cancel it
    And a job that nobody knows can't be cancelled

  Scenario: The configuration never goes back
    # Callers would be served by a queue that was taken away.
    Given an instance that follows the configuration
    When version 5 with a queue "new" is read
    And version 4 without it is read
    Then the queue "new" is found
    And the longest prefix of a path decides

  Scenario: Data centres are closed by rows of their own, and open once these are dropped
    # Tasks would start where everything is about to be switched off, or nowhere.
    Given an instance that follows the configuration
    When the operator closes "a" and "b"
    Then "a b" are closed
    When the operator opens "a"
    Then "b" are closed
    When the history is lost, and "b" was opened meanwhile
    Then "" are closed
