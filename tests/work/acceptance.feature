Feature: An order is called accepted only if there is a row of it
  A caller takes 200 and 202 for accepted: the work goes on and has an end. These
  scenarios force each way in which an order was told as open although nobody had
  claimed it, so that it never ran and was unknown when it was asked about. Time, table
  and peers are simulated.

  Scenario Outline: An order that no peer claims is refused at once
    Guards against 202 for an order that was passed on to a peer which never claimed it:
    the peer's failure was taken for a claim, and its row waited for until the deadline.
    Given an instance without workers and a peer that <fails>
    When an order with 8 seconds is sent to the instance
    Then it is refused as "<reason>", unknown, with a time to ask again
    And that took less than <seconds> seconds
    And no row of it was written

    Examples:
      | fails                                   | reason            | seconds |
      | can't reach the table                   | store_unavailable | 0.5     |
      | doesn't know whether its claim stands   | undecided         | 0.5     |
      | loses the order at once                 | undecided         | 0.5     |
      | loses the order after a time            | undecided         | 6       |
      | is of the build that tells no reason    | undecided         | 0.5     |
      | has no room                             | no_capacity       | 0.5     |

  Scenario Outline: An order goes to a second peer if the first does not claim it
    Guards against an order refused although another peer would have run it. Claims are
    conditional writes, so the first peer's may still come: one of them stands.
    Given an instance without workers, a peer that <fails> and one that claims
    When an order with 8 seconds is sent to the instance
    Then it is told as open, and was started once

    Examples:
      | fails                                 |
      | can't reach the table                 |
      | doesn't know whether its claim stands |
      | loses the order at once               |
      | claims, and its answer is lost        |
      | has no room                           |

  Scenario: The table does not answer while an order that was passed on is looked up
    Guards against 202 from an instance that has never seen a row of the order.
    Given an instance without workers and a peer that claims
    When an order with 2 seconds is sent to the instance, and it can't read the table
    Then it is refused as "store_unavailable", unknown, with a time to ask again
    And the order was started once

  Scenario: Neither a peer nor the instance reaches the table
    Guards against waiting out the deadline to refuse what nobody is known to have.
    Given an instance without workers and a peer that can't reach the table
    When an order with 8 seconds is sent to the instance, and it can't read the table
    Then it is refused as "store_unavailable", unknown, with a time to ask again
    And that took less than 0.5 seconds

  Scenario: The table goes down after the row of an order was seen
    Guards against refusing work that is known to be claimed.
    Given an instance without workers and a peer that claims
    When an order with 2 seconds is sent to the instance, and the table goes down later
    Then it is told as open, and was started once

  Scenario: A peer finds the order's id in use with another body
    Guards against answering an order with the outcome of another body of its id, which
    was claimed while the order was passed on.
    Given an instance without workers and a peer where the id is in use
    When an order with 8 seconds is sent to the instance
    Then it is refused for its body

  Scenario: A claim whose answers were lost is settled within seconds
    Guards against an order told as open for a minute, though it never starts: its row
    was found by the next scan of its worker, which had been owned for long.
    Given an instance that has owned its worker for 100 seconds
    When an order is sent there, and the answers to its claim are lost
    Then it is refused as "undecided", unknown, with a time to ask again
    When 1 sweep has passed
    Then it is told as "not_run" for good, and was never started

  Scenario: The claim that a caller waits for lasts beyond its deadline
    Guards against 202 for an order whose only claim then came to nothing.
    Given an instance whose table is so slow that it fails a claim after 0.3 seconds
    When two callers send an order there, the second with 0.1 seconds
    Then the second is refused as "undecided", unknown, with a time to ask again
    And no row of it was written

  Scenario: The claim of evicted work that a caller waits for lasts beyond its deadline
    Two callers find the row of an evicted task, and the first waits while the other
    claims it anew. Its row was seen, so that it may be told as open.
    Given an instance with an evicted task, whose table takes 0.3 seconds for a write
    When two callers send the task there, the first with 0.1 seconds
    Then the first is told that the task is "evicted", with a time to ask again
