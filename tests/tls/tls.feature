Feature: TLS
  Callers, operators and peers speak TLS; plain text only where it was asked for.

  Scenario: An instance without keys refuses to start in plain text unasked
    When an instance is started without keys and without --plaintext
    Then it ends with status 2 and names "--tls-certificate" and "--plaintext"
    When an instance is started with the key of another certificate
    Then it ends with status 2 and names "--tls-key" and "--tls-authority"

  Scenario: Callers and peers are served over TLS, with keys from files or text
    Given two instances with certificates, one with its keys in the environment
    Then each reaches the other
    And a caller that trusts the authority gets an answer over TLS
    And a caller in plain text gets none

  Scenario: A peer is refused whose certificate names another, or has another signer
    The peers reach each other only by certificates that name them. One with a
    certificate of a stranger's authority, or of another instance's name, sends
    heartbeats in vain: nobody counts it as reachable, so no work goes there.
    Given two instances with certificates, one with its keys in the environment
    When an instance joins with a certificate for another name
    And an instance joins with a certificate of another authority
    Then neither is reached by the two, nor reaches them

  Scenario: New keys are in use without a restart
    The certificate file is replaced before its key file. In between the pair does
    not fit; the instance serves on with the old one and takes the new pair whole.
    Given two instances with certificates, one with its keys in the environment
    When the certificate alone is replaced, then the key
    Then the failed reload is counted
    And callers are shown the new certificate
    And each goes on reaching the other
