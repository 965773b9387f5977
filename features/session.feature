Feature: Read-your-writes over roaming sessions

  Scenario: A session token never moves back
    Given a session at term 2 position 9 of group "survey"
    When it sees term 2 position 7 of group "survey"
    Then its position in group "survey" is term 2 position 9

  @deployment
  Scenario: A session reads its own write at another VM while the replicas lag
    Given the replicas of "caves" apply 2 s late
    And a session at "vm1"
    When it writes to "caves"
    And it reads "caves" at "vm2" with a bounded age
    Then it sees its write
    And no replica of "caves" has applied the write
