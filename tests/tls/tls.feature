Feature: TLS
  Callers, operators and peers use TLS; plain text has to be enabled explicitly.

  Scenario: An instance without keys refuses to start unless --plaintext is given
    When an instance is started without keys and without --plaintext
    Then it ends with status 2 and names "--tls-certificate" and "--plaintext"
    When an instance is started with the key of another certificate
    Then it ends with status 2 and names "--tls-key" and "--tls-authority"

  Scenario: Callers and peers are served over TLS, with keys from files or text
    Given two instances with certificates, one with its keys in the environment
    Then each reaches the other
    And a caller that trusts the authority gets an answer over TLS
    And a caller in plain text gets none

  Scenario: A peer with a certificate of another name or authority is refused
    An instance whose certificate has another instance's name, or is signed by an
    unknown authority, must not exchange heartbeats with others. No instance counts
    it as reachable, so it receives no work.
    Given two instances with certificates, one with its keys in the environment
    When an instance joins with a certificate for another name
    And an instance joins with a certificate of another authority
    Then neither is reached by the two, nor reaches them

  Scenario: New keys are in use without a restart
    The certificate file is replaced before its key file, so the two do not match for
    a moment. The instance must keep using the old pair until the new one is complete.
    Given two instances with certificates, one with its keys in the environment
    When first only the certificate is replaced, then the key
    Then the failed reload is counted
    And callers receive the new certificate
    And each goes on reaching the other

  Scenario: An idle connection with TLS does not hold up a planned stop
    The stop ends idle connections; one with TLS that stayed open would keep the instance
    until its time limit.
    Given two instances with certificates, one with its keys in the environment
    When the first one is stopped while a caller has an idle connection to it
    Then the caller's connection is closed, and the instance has ended within 4 s
