Feature: Statements of different transactions are never interleaved

  @deployment
  Scenario: Two callers use one transaction concurrently
    Given an open transaction in "caves" begun at "vm1"
    When two callers concurrently send writes of 300 ms in the transaction at "vm1" and "vm2"
    Then one write succeeds and the other is refused as "transaction-busy"
    When the transaction is committed
    Then only the successful write is in "caves"

  @deployment
  Scenario: Another write does not join an open transaction
    Given an open transaction in "caves" begun at "vm1"
    When a write in the transaction succeeds
    And a write outside the transaction is sent at "vm2" with a deadline of 1500 ms
    And the transaction is rolled back
    Then the write in the transaction is not in "caves"
    And the write outside it is in "caves" at most once, and exactly once if it was acknowledged
