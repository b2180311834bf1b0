Feature: An instance that can't reach the store passes callers on to a peer

  Scenario: A peer accepts a job in its place
    # The caller is answered by whichever instance it reached. The store refuses that one
    # and serves its peers; open connections stay with it for as long as it lives.
    Given an instance that the store refuses and a peer that it serves
    When a caller hands a job in
    Then the caller gets the answer 200
    And the peer's store holds the job

  Scenario: A request is passed on once
    # Two instances that the store refuses must not send a request to and fro.
    Given an instance and a peer that the store refuses
    When a caller hands a job in
    Then the caller is refused and told when to come back
    And the peer was asked once

  Scenario: What a silent peer may have done is not called refused
    # "Refused" would be false: the peer may have stored the job before its answer got lost.
    Given an instance that the store refuses and a peer that never answers
    When a caller hands a job in
    Then the caller gets the answer 504

  Scenario: After a silent peer, callers are refused at once for a while
    # A data centre that is cut off reaches neither the store nor peers. Callers do better
    # to go elsewhere at once than to be kept for each of them.
    Given an instance that the store refuses and a peer that never answers
    When a caller hands a job in
    And another caller hands a job in
    Then the other caller is refused and told when to come back
    And the peer was asked once

  Scenario: A peer that is not there is no reason to leave the outcome open
    Given an instance that the store refuses and a peer that is not there
    When a caller hands a job in
    Then the caller is refused and told when to come back

  Scenario: State and cancelling are passed on too
    Given an instance that the store refuses and a peer that it serves
    When a caller hands a job in
    And the caller asks for its state
    Then the caller is told that it is queued
    When the caller cancels it
    Then the caller gets the answer 200

  Scenario: What a peer answered by a newer configuration is not taken back
    # Callers see a queue that was just added, by way of a peer. The store serves this
    # instance again; before it has read of the change, it would go on with a queue that
    # was dropped in the same version.
    Given an instance with an older configuration and a peer with a newer one
    When a caller hands a job in at the queue that was added
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
    When a caller hands a job in
    Then the caller is refused and told when to come back

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
    # An instance without a configuration would read all that a caller sends, without a
    # bound, before it asks a peer.
    Given an instance without a configuration and a peer with one
    When a caller hands in a job of 300000 bytes
    Then the caller gets the answer 400
    And no peer was asked

  Scenario Outline: Callers are answered although most peers refuse
    # Most instances lack the store, and the balancer still sends callers to them. Two
    # peers at random refuse 6 callers in 10, and a pause after them refuses the next
    # unseen, though five peers answer each time. A caller who asks for an accepted job's
    # state gives up before it is told.
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
    # The store is away for all. Each caller who is passed on costs a peer a reading of
    # the store, and all instances pass on at once.
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
    # The first caller finds it gone and another one answers. Held off after that, the
    # next callers were refused although the same peer would have answered them.
    Given an instance that the store refuses and 3 peers, of which 2 are gone
    When 40 callers send a POST within 4 seconds
    Then the last 35 callers got the answer 200

  Scenario: A peer that recovers takes callers again
    # The only peer that answered fails, and the one that refused is well again.
    Given an instance that the store refuses and 2 peers, of which 1 refuse
    When 20 callers send a GET within 2 seconds
    And the peers change places
    And 40 callers send a GET within 4 seconds
    Then the last 20 callers got the answer 200

  Scenario: What a peer did is forgotten with its row
    # Instances come and go for as long as this one lives; what was known of all of them
    # would grow without end.
    Given an instance that the store refuses and 29 peers, of which 24 refuse
    When 100 callers send a GET within 5 seconds
    And the rows of all peers but 3 go
    And 10 callers send a GET within 1 seconds
    Then no more than 3 peers are remembered

  Scenario: Callers who hand a job in are kept from a peer that fell silent
    # Each of them is told nothing certain. One caller finds it silent; while others
    # answer, no later one has to.
    Given an instance that the store refuses and 5 peers, of which 1 are silent
    When 400 callers send a POST within 20 seconds
    Then at most 1 callers got the answer 504
    And no caller got the answer 503

  Scenario: Callers who come while a peer's answer is awaited are kept from that peer
    # Whether it is silent shows after 0.7 s. All who handed a job in meanwhile would be
    # passed on to it too, and be told nothing certain.
    Given an instance that the store refuses and 5 peers, of which 1 are silent
    When 40 callers a second come while a silent peer is asked
    And 100 callers send a POST within 5 seconds
    Then the silent peer was asked once
    And at most 1 callers got the answer 504

  Scenario Outline: A silent peer is no answer to a question
    # A question changes nothing, so silence leaves nothing open: the next peer answers,
    # and where it can't, the refusal is true. The caller was told that the outcome is
    # not known, and nothing about its job.
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
    # To cancel writes the same row each time, whoever writes it and how often, so another
    # peer's answer is true. Where no other has one, the first may have written the row.
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
    # The silent peer may yet store it, and another one may refuse it for good meanwhile.
    Given an instance that the store refuses and 2 peers, of which 1 are silent
    When 12 callers send a POST with 7 seconds between them
    Then a caller for whom the silent peer was asked got the answer 504
    And the silent peer was asked

  Scenario Outline: A peer that answers that it does not know is like a silent one
    # Its store took the request and said nothing, or it met a fault of its own. It was
    # taken for one that answers, and callers went on to it.
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
    # The store was silent to this instance for 1.9 s, the first peer for 0.7 s. After
    # a second one the caller would be gone.
    Given an instance that the store refuses and 2 peers, of which 2 are silent
    When the store is silent for 1.9 seconds
    And a caller asks how many jobs wait
    Then the caller is refused and told when to come back
    And the caller was kept for at most 3 seconds
    And the peer was asked once

  Scenario: A peer's refusal for want of room is an answer
    # No other instance has more room. The peer's refusal was taken for that of one
    # without the store: the caller was told to come back at once, another peer was asked
    # the same, and all other callers were refused for a second.
    Given an instance that the store refuses and a peer that it serves
    And there is no room for continuous jobs
    When a caller hands a continuous job in
    Then the caller is refused for "no_room_for_continuous" and comes back after 2 seconds
    When another caller hands a job in
    Then the caller gets the answer 200
    And the peer was asked twice

  Scenario: An instance whose store is back answers its callers itself
    # Each caller who was passed on made the instance doubt its configuration until it was
    # read anew, and a reading takes half a second: with 20 callers a second it was in
    # doubt for ever, and passed all of them on although its store was well.
    Given an instance that the store refuses and 5 peers, of which 0 refuse
    When 20 callers send a GET within 1 seconds
    And the store serves the instance again
    And the instance follows for 5 seconds, while 20 callers a second send a GET
    Then none of the last 60 callers was passed on

  Scenario: An instance with an older configuration than a peer's passes callers on
    # Peers answered by a newer configuration. Until this instance has read it, callers are
    # passed on though its store is well; then it answers them itself.
    Given an instance that the store refuses and 5 peers, of which 5 are newer
    When 20 callers send a GET within 1 seconds
    And the store serves the instance again
    And 20 callers send a GET within 1 seconds
    Then the last 40 callers got the answer 200
    When the store tells of the newer configuration
    And the instance follows for 5 seconds, while 20 callers a second send a GET
    Then none of the last 60 callers was passed on

  Scenario: What one caller saw is not forgotten for another who was on its way
    # Two callers are passed on at once. The later one is answered first, by a newer
    # configuration, then the earlier one by an older one, as its peer may. From then on
    # peers with the older one answered again: a queue that had been dropped was back.
    Given an instance that the store refuses and 2 peers, of which 1 are newer
    When a caller is answered by the older one after another was by the newer one
    And a caller asks how many jobs wait
    Then peers were asked for the newer configuration at least
