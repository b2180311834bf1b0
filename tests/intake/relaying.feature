Feature: An instance that can't reach the store passes callers on to a peer

  Scenario: A peer accepts a job in its place
    # The store refuses the instance that a caller reached and serves its peers. Open
    # connections to this instance persist for as long as it runs, so it has to answer.
    Given an instance that the store refuses and a peer that it serves
    When a caller submits a job
    Then the caller gets the answer 200
    And the peer's store holds the job

  Scenario: A request is passed on once
    # Two instances that cannot reach the store must not forward a request in a loop.
    Given an instance and a peer that the store refuses
    When a caller submits a job
    Then the caller is refused and told when to retry
    And the peer was asked once

  Scenario: What a silent peer may have done is not called refused
    # "Refused" would be wrong: the peer may have stored the job before its answer was lost.
    Given an instance that the store refuses and a peer that never answers
    When a caller submits a job
    Then the caller gets the answer 504

  Scenario: After a silent peer, callers are refused at once for a while
    # A partitioned data centre reaches neither the store nor peers. Callers are better
    # off when refused at once than when they wait for a timeout each.
    Given an instance that the store refuses and a peer that never answers
    When a caller submits a job
    And another caller submits a job
    Then the other caller is refused and told when to retry
    And the peer was asked once

  Scenario: A peer that is not there is no reason to leave the outcome open
    Given an instance that the store refuses and a peer that is not there
    When a caller submits a job
    Then the caller is refused and told when to retry

  Scenario: State and cancelling are passed on too
    Given an instance that the store refuses and a peer that it serves
    When a caller submits a job
    And the caller asks for its state
    Then the caller is told that it is queued
    When the caller cancels it
    Then the caller gets the answer 200

  Scenario: What a peer answered by a newer configuration is not taken back
    # Through a peer, callers see a queue that was just added. When the store serves this
    # instance again, it must not use a queue that was removed in the same version before
    # it has read the change.
    Given an instance with an older configuration and a peer with a newer one
    When a caller submits a job at the queue that was added
    Then the caller gets the answer 200
    When the store serves the instance again
    And a caller asks how many jobs wait at the queue that was dropped
    Then the caller gets the answer 404
    When the instance has read the newer configuration
    And a caller asks how many jobs wait at the queue that was dropped
    Then the caller gets the answer 404
    And the peer was asked twice

  Scenario: A peer with an older configuration refuses
    Given an instance with a newer configuration and a peer with an older one
    When a caller submits a job
    Then the caller is refused and told when to retry

  Scenario: Instances know each other from their rows
    Given two instances that have written their rows
    When the first reads the rows of all
    Then it knows the second alone

  Scenario: An instance that no longer writes its row is not asked
    Given two instances that have written their rows
    When 200 seconds pass and the first writes and reads
    Then it knows no other

  Scenario: An instance that stops as planned is forgotten
    Given two instances that have written their rows
    When the second stops as planned
    And the first reads the rows of all
    Then it knows no other

  Scenario: A body that is too large is not passed on
    # An instance without a configuration would read the body without a limit before it
    # forwards the request.
    Given an instance without a configuration and a peer with one
    When a caller submits a job of 300000 bytes
    Then the caller gets the answer 400
    And no peer was asked

  Scenario Outline: Callers are answered although most peers refuse
    # Most instances cannot reach the store, and the load balancer still sends callers to
    # them. Two random peers refuse 6 of 10 callers, and a pause afterwards refuses the
    # next ones without trying, although five peers would answer. Callers that query the
    # state of an accepted job time out without an answer.
    Given an instance that the store refuses and 29 peers, of which 24 refuse
    When 100 callers send a <method> within 5 seconds
    Then at least 85 callers got the answer 200
    And the last 60 callers got the answer 200
    And each peer that it serves answered at least 5 callers

    Examples:
      | method |
      | POST   |
      | GET    |
      | DELETE |

  Scenario: Peers are seldom asked where none can answer
    # The store is down for all instances. Each forwarded request costs a peer a read of
    # the store, and all instances forward at the same time.
    Given an instance that the store refuses and 29 peers, of which 29 refuse
    When 1000 callers send a GET within 10 seconds
    Then no caller got the answer 200
    And peers were asked at most 35 times

  Scenario: Callers are answered soon after a store that was away for all is back
    Given an instance that the store refuses and 29 peers, of which 29 refuse
    When 200 callers send a GET within 10 seconds
    And the peers recover
    And 40 callers send a GET within 2 seconds
    Then the last 20 callers got the answer 200

  Scenario: A peer that is gone does not keep callers from the others
    # The first request finds the peer gone and another one answers. Because of a pause
    # after that, the next callers were refused although that peer would have answered.
    Given an instance that the store refuses and 3 peers, of which 2 are gone
    When 40 callers send a POST within 4 seconds
    Then the last 35 callers got the answer 200

  Scenario: A peer that recovers takes callers again
    # The only answering peer fails, and the one that refused has recovered.
    Given an instance that the store refuses and 2 peers, of which 1 refuse
    When 20 callers send a GET within 2 seconds
    And the peers swap states
    And 40 callers send a GET within 4 seconds
    Then the last 20 callers got the answer 200

  Scenario: What a peer did is forgotten with its row
    # Instances come and go while this one runs, so the records of all of them would grow
    # without limit.
    Given an instance that the store refuses and 29 peers, of which 24 refuse
    When 100 callers send a GET within 5 seconds
    And the rows of all peers but 3 are deleted
    And 10 callers send a GET within 1 seconds
    Then no more than 3 peers are remembered

  Scenario: Callers who hand a job in are kept from a peer that fell silent
    # Each of these callers gets an undecided outcome. One of them finds the peer silent;
    # while other peers answer, no later request may be sent to it.
    Given an instance that the store refuses and 5 peers, of which 1 are silent
    When 400 callers send a POST within 20 seconds
    Then at most 1 callers got the answer 504
    And no caller got the answer 503

  Scenario: Callers who come while a peer's answer is awaited are kept from that peer
    # It takes 0.7 s to detect a silent peer. All submissions in that time would be
    # forwarded to it too and get an undecided outcome.
    Given an instance that the store refuses and 5 peers, of which 1 are silent
    When 40 callers a second come while a silent peer is asked
    And 100 callers send a POST within 5 seconds
    Then the silent peer was asked once
    And at most 1 callers got the answer 504

  Scenario Outline: A silent peer is no answer to a question
    # A query has no side effects, so the next peer may answer after a silent one, and if
    # it cannot, a refusal is correct. Callers were told that the outcome is unknown
    # instead of getting the state of their job.
    Given an instance that the store refuses and 2 peers, of which 1 are silent
    When the other peer is <state>
    And 12 callers send a GET with 7 seconds between them
    Then each caller got the answer <status>
    And the silent peer was asked

    Examples:
      | state  | status |
      | well   | 200    |
      | refuse | 503    |
      | gone   | 503    |
      | silent | 503    |

  Scenario Outline: A job is cancelled past a silent peer
    # A cancellation is idempotent: it always writes the same row, so the answer of
    # another peer is correct. Without one, the silent peer may have written the row.
    Given an instance that the store refuses and 2 peers, of which 1 are silent
    When the other peer is <state>
    And 12 callers send a DELETE with 7 seconds between them
    Then a caller for whom the silent peer was asked got the answer <status>
    And the silent peer was asked

    Examples:
      | state  | status |
      | well   | 200    |
      | refuse | 504    |
      | gone   | 504    |

  Scenario: A job handed in goes to nobody after a silent peer
    # The silent peer may still store the job while another one refuses it permanently.
    Given an instance that the store refuses and 2 peers, of which 1 are silent
    When 12 callers send a POST with 7 seconds between them
    Then a caller for whom the silent peer was asked got the answer 504
    And the silent peer was asked

  Scenario Outline: A peer that answers that it does not know is like a silent one
    # Its store did not answer, or it had an internal error. The peer was treated as
    # answering, and further requests were forwarded to it.
    Given an instance that the store refuses and 2 peers, of which 1 are <state>
    When 40 callers send a <method> within 4 seconds
    Then at most <open> callers got the answer 504
    And the last 38 callers got the answer 200

    Examples:
      | state  | method | open |
      | open   | POST   | 1    |
      | faulty | POST   | 1    |
      | faulty | GET    | 0    |
      | open   | DELETE | 0    |

  Scenario: A caller whose time has gone is not kept for a second silent peer
    # The store did not answer this instance for 1.9 s, and the first peer for 0.7 s. The
    # caller would time out before a second peer does.
    Given an instance that the store refuses and 2 peers, of which 2 are silent
    When the store is silent for 1.9 seconds
    And a caller asks how many jobs wait
    Then the caller is refused and told when to retry
    And the caller was kept for at most 3 seconds
    And the peer was asked once

  Scenario: A peer's refusal for want of room is an answer
    # No other instance has more capacity. The refusal was treated as if the peer could
    # not reach the store: the caller was told to retry at once, another peer got the same
    # request, and all other callers were refused for a second.
    Given an instance that the store refuses and a peer that it serves
    And there is no capacity for continuous jobs
    When a caller submits a continuous job
    Then the caller is refused for "no_room_for_continuous" and retries after 2 seconds
    When another caller submits a job
    Then the caller gets the answer 200
    And the peer was asked twice

  Scenario: An instance whose store is back answers its callers itself
    # Each forwarded request invalidated the configuration until it was read again, which
    # takes half a second. With 20 callers per second it was always invalid, and all
    # requests were forwarded although the store was healthy.
    Given an instance that the store refuses and 5 peers, of which 0 refuse
    When 20 callers send a GET within 1 seconds
    And the store serves the instance again
    And the instance follows for 5 seconds, while 20 callers a second send a GET
    Then none of the last 60 requests was forwarded

  Scenario: An instance with an older configuration than a peer's passes callers on
    # Peers answered by a newer configuration. Until this instance has read it, requests
    # are forwarded although its store is healthy; afterwards it answers them itself.
    Given an instance that the store refuses and 5 peers, of which 5 are newer
    When 20 callers send a GET within 1 seconds
    And the store serves the instance again
    And 20 callers send a GET within 1 seconds
    Then the last 40 callers got the answer 200
    When the store contains the newer configuration
    And the instance follows for 5 seconds, while 20 callers a second send a GET
    Then none of the last 60 requests was forwarded

  Scenario: What one caller saw is not forgotten for another who was on its way
    # Two requests are forwarded concurrently. The later one is answered first, by a newer
    # configuration, and the earlier one then by an older one. From then on, peers with
    # the older configuration answered again, and a removed queue was back.
    Given an instance that the store refuses and 2 peers, of which 1 are newer
    When a caller is answered by an older configuration after another by a newer one
    And a caller asks how many jobs wait
    Then requests require at least the newer configuration

  Scenario: A peer that is as far behind does not answer for an instance that knows it
    # Guards against a change that is taken back for callers: the instance ran a job of a newer
    # configuration than it had read, and had a peer answer that hadn't read it either.
    Given an instance that the store refuses and a peer that it serves
    When the instance runs a job of a newer configuration
    And a caller asks how many jobs wait at the queue that was dropped
    Then the caller is refused and told when to retry
    And the peer was asked once
