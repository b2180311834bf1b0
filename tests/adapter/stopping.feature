Feature: A planned stop on the platform completes the requests in flight
  The platform gives a process 6 s from the signal to the kill. For 2.3 s it still accepts
  connections, as the load balancer has to notice first.

  Scenario: A caller whose request takes long is answered by a process that stops
    Callers with slow links lost jobs that they had handed in: the process ended 1 s after
    it had closed its listening socket, whatever was in flight.
    Given a process on the platform
    When it is stopped while a caller takes 2.5 s to send a job, begun 2 s after the signal
    Then the caller is told that the job was accepted
    And the process has ended within 6 s of the signal, with status 0

  Scenario: A request that a peer passed on is answered by a process that stops
    The peer's caller was told nothing certain. Nobody waited for what peers had passed on.
    Given a process on the platform
    When it is stopped while a peer takes 2.5 s to pass on a job, begun 2 s after the signal
    Then the peer is told that the job was accepted
    And the process has ended within 6 s of the signal, with status 0

  Scenario: A process that has nothing in flight does not wait for the kill
    An idle connection of the load balancer is no request.
    Given a process on the platform
    When it is stopped while a connection of a caller is idle
    Then the process has ended within 5 s of the signal, with status 0

  Scenario: A process ends before the kill although a request never ends
    Killed, it would lose its last log lines.
    Given a process on the platform
    When it is stopped while a caller sends half of its headers, 2 s after the signal
    Then the process has ended within 6 s of the signal, with status 0
    And it has logged "drain deadline passed with requests in flight"
