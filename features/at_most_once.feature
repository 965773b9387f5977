Feature: A keyed write takes effect at most once

  @deployment
  Scenario: An acknowledged keyed write is repeated at another VM after the primary was killed
    Given a keyed write to "surveys" at "vm1" that is acknowledged
    When the primary of "surveys" is killed
    And another target has become the primary of "surveys"
    And the keyed write is repeated at "vm2" until its outcome is known
    Then the keyed write is in "surveys" exactly once

  @deployment
  Scenario: A keyed write of unknown outcome is repeated at another VM
    Given the primary of "caves" is isolated from replicas and controllers but not from pools
    And a keyed write to "caves" at "vm1" of unknown outcome
    When the primary of "caves" is killed
    And another target has become the primary of "caves"
    And the keyed write is repeated at "vm2" until its outcome is known
    Then the keyed write is in "caves" exactly once
