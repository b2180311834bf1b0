Feature: Claims of one piece of work that meet each other, in one process
  Each write of the table waits until the scenario lets it go, so that the order of
  events is the same in every run.

  Scenario Outline: Callers wait for a claim that comes to nothing
    Guards against two claims in progress for one release: all who wait for a claim go
    on at once when it comes to nothing. Two of them claimed the release; the mark of
    the second replaced that of the first, and the first to end removed it. The other
    found no mark to remove: its caller got an internal error, its row was written and
    its task registered, but nothing started it, neither a sweep nor an adoption scan.
    Given an instance with <workers> worker(s)
    When <callers> callers order a release, and its first claim fails
    And the writes that follow are let go <order> first
    Then no caller meets an internal error
    And the release has been started once, and is claimed and registered
    And it is reserved on its worker alone
    When the release ends
    Then no claim and no reservation is left

    Examples:
      | workers | callers | order  |
      | 1       | 3       | oldest |
      | 1       | 5       | newest |
      | 2       | 3       | oldest |
      | 2       | 3       | newest |
      | 2       | 4       | oldest |
      | 3       | 5       | newest |

  Scenario Outline: A moved release is taken over before the move is written
    Guards against a reservation that nothing releases: the start fails, the release is
    moved to a second worker and reserved there, and the write of the move conflicts
    with that of another instance, which has taken over the first worker. The task was
    dropped, and its share of the second worker stayed taken for good.
    Given an instance with 1 worker(s)
    When a release can't start, and its move to a second worker waits to be written
    And the first worker is taken over, and the write of the move <ends>
    Then no caller meets an internal error
    And the release is not_run, and nothing has started
    And no reservation for it is left at either instance

    Examples:
      | ends                              |
      | goes on                           |
      | is refused, and then made anew    |

  Scenario Outline: A claim ends by an exception
    Guards against a reservation that nothing releases: the room was reserved, then
    <what>. Its share of the worker stayed taken for good, and the same release was
    refused for want of room ever after.
    Given an instance with 1 worker(s)
    When a release is claimed, and <what>
    Then no reservation for it is left
    When the same release is ordered again
    Then the release has been started once, and is claimed and registered

    Examples:
      | what                      |
      | its body can't be encoded |
      | its caller is stopped     |
      | the table raises          |

  Scenario Outline: A release that can't be placed now was claimed before
    Guards against a refusal where there is an outcome to return. A claim reads no row;
    its placement was refused, and so was the caller: as "no_capacity" if the worker
    that runs the release was taken over and is not yet scanned for work, and for good
    as "too_large" if the workers that were large enough are gone.
    Given an instance with 1 worker(s)
    When a release <runs>, and then <change>
    And the same release is ordered again
    Then its caller is told that it is <state>
    When another body is ordered under the same id
    Then its caller is refused for the body

    Examples:
      | runs        | change                         | state     |
      | runs        | its worker is taken over       | claimed   |
      | has run     | its worker is taken over       | completed |
      | runs        | no worker is large enough      | claimed   |
      | has run     | no worker is large enough      | completed |

  Scenario: A release that can't be placed while the table is down
    Whether it was claimed before is not known, so it is not refused for good.
    Given an instance with 1 worker(s)
    When no worker is large enough, and a release is ordered while the table is down
    Then its caller is refused as "store_unavailable" with a time to ask again
    When the same release is ordered again
    Then its caller is refused as "too_large" for good

  Scenario Outline: A release is cancelled while its claim awaits the table's answer
    Guards against a cancellation that is forgotten: it waits 2 s for a claim in
    progress and then reads the row. <found>, and the release started once
    the claim was answered, although nobody wanted it any more.
    Given an instance with 1 worker(s)
    When a release is claimed, and the table <writes> and doesn't answer
    And it is cancelled, which takes longer than an order may
    And the table answers
    Then the release is cancelled, and nothing has started
    And no reservation for it is left

    Examples:
      | writes      | found                       |
      | writes      | The row was claimed already |
      | holds back  | There was no row yet        |

  Scenario: Claims, cancellations, evictions and scans overlap in any order
    Callers submit, cancel and are stopped at two instances; work is evicted and adopted,
    workers change owners, leases end. Reads, writes and orders wait and are let go in
    random order, some with faults. Nobody meets an exception, no order starts twice,
    what was told of as not_run never ran, and at the end all work is final, with no
    claim and no reservation left.
    Then 300 random interleavings keep every guarantee
