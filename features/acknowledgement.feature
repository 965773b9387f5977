Feature: No write is acknowledged by a replaced primary

  @deployment
  Scenario: A primary that is reachable only for pools acknowledges no writes
    Given 3 acknowledged writes to "caves"
    And the primary of "caves" is isolated from replicas and controllers but not from pools
    When a write to "caves" is sent with a deadline of 400 ms
    Then the write is not acknowledged
    When another target has become the primary of "caves"
    And 3 more writes to "caves" are acknowledged
    Then the new primary of "caves" has every acknowledged write exactly once
