Feature: A request that is refused as not run never runs

  @deployment
  Scenario: A write that missed its deadline is not in the database afterwards
    Given the targets of "caves" answer 20 ms late
    When writes to "caves" with a deadline of 1 ms are sent until 20 are refused as not run
    And a later write to "caves" is acknowledged
    Then none of the refused writes is in "caves"

  @deployment
  Scenario Outline: A refused write is not in the database afterwards
    Given the targets of "caves" answer 20 ms late
    When 20 writes to "caves" are sent <fault>
    Then all of them are refused as not run because of "<problem>"
    When a later write to "caves" is acknowledged
    Then none of the refused writes is in "caves"

    Examples:
      | fault                            | problem                 |
      | with a class that is not granted | forbidden               |
      | with an expired key              | idempotency-key-expired |
