Feature: A request that is refused as not run is never executed

  @deployment
  Scenario: A write that missed its deadline is not in the database afterwards
    Given the targets of "caves" delay their responses by 20 ms
    When writes to "caves" with a deadline of 1 ms are sent until 20 are refused as not run
    And a later write to "caves" is acknowledged
    Then none of the refused writes is in "caves"

  @deployment
  Scenario Outline: A refused write is not in the database afterwards
    Given the targets of "caves" delay their responses by 20 ms
    When 20 writes to "caves" are sent <fault>
    Then all of them are refused as not run with the problem "<problem>"
    When a later write to "caves" is acknowledged
    Then none of the refused writes is in "caves"

    Examples:
      | fault                            | problem                 |
      | with a class that is not granted | forbidden               |
      | with an expired key              | idempotency-key-expired |
