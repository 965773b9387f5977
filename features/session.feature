Feature: Read-your-writes over roaming sessions

  Scenario: A session token never moves back
    Given a session at term 2 position 9 of group "survey"
    When it sees term 2 position 7 of group "survey"
    Then its position in group "survey" is term 2 position 9
