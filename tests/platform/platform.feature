Feature: The platform's adapter
  Answers of the platform get lost, and connections to it stall.

  Scenario: One lost answer does not disconnect an instance from the platform
    The answer to a commit never comes, and the call times out. The adapter then drops
    its pooled connections, since their peers may be gone as well, and later calls use
    new connections. An instance that could no longer read the table would lose all its
    leases because of one lost answer.

    Given a platform that loses every answer of the table
    When 12 commits are sent at once
    Then each of them is uncertain
    When the platform answers again
    Then 12 reads sent at once are answered

  Scenario: An unchanged list is not sent again
    Each instance fetches the list of 650 workers once a second. Sent in full each time,
    the list alone exceeds the traffic that an instance may have. The second answer has
    no content, and the instance still knows the workers. A worker that leaves changes
    the list, which is sent again.

    Given a platform that lists the worker "w1"
    When the list is fetched twice
    Then both times it has "w1" live, and the second time it was not sent
    When "w1" is leaving
    Then the fetched list shows it as leaving
