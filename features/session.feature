Feature: Read-your-writes for sessions that move between VMs

  Scenario: The position of a session never moves backwards
    Given a session at term 2 position 9 of group "survey"
    When it observes term 2 position 7 of group "survey"
    Then its position in group "survey" is term 2 position 9

  @deployment
  Scenario: A session reads its own write at another VM while the replicas lag
    Given the replicas of "caves" apply entries with a delay of 2 s
    And a session at "vm1"
    When it writes to "caves"
    And it reads "caves" at "vm2" with a bounded age
    Then it sees its write
    And no replica of "caves" has applied the write
