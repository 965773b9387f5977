Feature: Bundles are in effect everywhere and never reverted

  Background:
    Given three programs that serve by version 1

  Scenario: A new bundle reaches programs that have not polled
    When version 2 is accepted
    And program 1 polls
    Then every program serves by version 2

  Scenario: An operator with an outdated bundle is refused
    When version 2 is accepted
    And an operator rolls another version 2
    Then the roll is refused because of "the head is version 2, rolled by vesela"
    And the audit has no findings

  Scenario: A program does not go back to an older bundle
    When version 2 is accepted
    And program 1 polls
    And program 1 is told of version 1
    Then every program serves by version 2

  Scenario: A bundle without enough signatures is never in effect
    When an unsigned version 2 becomes the head
    And program 1 polls
    Then every program serves by version 1

  Scenario: A program without confirmation is degraded until the store responds
    When the table service is down for 6 seconds
    Then every program is degraded
    When the table service responds again
    Then no program is degraded

  Scenario: A restart without a confirmed head is not ready
    When version 2 is accepted
    And program 1 polls
    And the table service is down for 6 seconds
    And program 1 restarts
    And program 1 polls
    Then program 1 is not ready
