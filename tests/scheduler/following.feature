Feature: Following what changes at the store

  Scenario: After an outage the store is heard of at once
    The store refuses everything for 4 s and then serves again. Nothing has changed
    meanwhile, so a request that waits for changes is answered only once its wait is
    over. Callers were refused for that long although the store was back.
    Given rows that are followed with waits of 0.5 s
    When the store is away from 1 s to 5 s
    Then the store is heard of again within 0.25 s of its return
    And requests wait for changes again

  Scenario: What can't be read, and that it can be again, is said once each
    A whole part of a day's requests was refused, and no line said that the reading on
    which they rest failed each time, nor why. A line for each failure would be too many.
    Given rows that are followed with waits of 0.5 s
    When the store is away from 1 s to 5 s
    Then one line says that following was interrupted, why, and at which version
    And one line says after how many seconds it went on
