Feature: Bundles take effect everywhere and are never reverted

  Rule: Programs follow the head of the store

    Background:
      Given three programs that use version 1

    Scenario: A new bundle reaches programs that have not polled
      When version 2 is accepted
      And program 1 polls
      Then every program uses version 2

    Scenario: An operator with an outdated bundle is refused
      When version 2 is accepted
      And an operator rolls another version 2
      Then the roll is refused with the reason "the head is version 2, rolled by vesela"
      And the audit has no findings

    Scenario: A program does not go back to an older bundle
      When version 2 is accepted
      And program 1 polls
      And program 1 receives a notice of version 1
      Then every program uses version 2

    Scenario: A bundle without enough signatures is never in effect
      When an unsigned version 2 becomes the head
      And program 1 polls
      Then every program uses version 1

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

  Rule: A deployment never reverts an accepted bundle

    @deployment
    Scenario: The store goes down after a roll and a VM restarts
      When a bundle is rolled
      Then the rolled bundle is in effect in every program
      When the store goes down
      And "vm2" is killed and started again
      Then the programs of "vm2" use no older bundle until the store responds
      And the rolled bundle is in effect in every program
      And no program was observed with an older bundle
