Feature: Random histories of configurations

  Scenario: No caller is answered by a configuration that was replaced too long ago
    The configuration changes; readings of it fail, take longer than a change may take to be
    in force, or miss a change made meanwhile, while the store answers all else, or nothing.
    Callers ask for queues that were removed or added, at two instances that pass on to each
    other. None is answered by a version older than one acknowledged 3 s before, or older than
    one that showed there before, by an answer or by a job that ran. Once readings work, all are answered.
    Then 1000 random histories of up to 30 steps keep every promise about configurations
    And some callers were answered 200, 404 and 503
