Feature: The platform's adapter
  Answers of the platform get lost, and connections to it go silent.

  Scenario: One lost answer does not cut an instance off the platform
    A commit's answer never comes, and the adapter gives the call up after its
    timeout. It then drops its pooled connections, since their peers may be gone
    as well. Calls after that go over new connections: an instance that could
    not read the table again would lose all its leases for one lost answer.

    Given a platform that loses every answer of the table
    When 12 commits are sent at once
    Then each of them is uncertain
    When the platform answers again
    Then 12 reads sent at once are answered

  Scenario: A list that has not changed is not sent again
    The list of 650 workers is long, and each instance asks for it each second:
    sent whole, it alone is more than an instance may send and receive. The
    second answer has no content, and the instance still knows the workers. A
    worker that leaves changes the list, which is sent again.

    Given a platform that lists the worker "w1"
    When the list is fetched twice
    Then both times it has "w1" live, and the second time it was not sent
    When "w1" is leaving
    Then the list that is fetched says so
