Feature: Every caller gets the complete answer to its own request

  @deployment
  Scenario: A caller's connection is cut during a large answer
    Given 6 callers that read 2000 rows each from "caves" again and again at "vm1"
    When 10 other callers cut their connections to "vm1" during an answer of 50000 rows
    And the callers have each read 3 more answers
    Then every answer of the callers was complete and their own

  @deployment
  Scenario: Answers of the pools are delayed until callers have given up
    Given the targets of "caves" answer 300 ms late
    When 10 callers read from "caves" at "vm1" with a deadline of 100 ms
    And 10 callers read from "caves" at "vm1" with a deadline of 4000 ms
    Then every answer that arrived was complete and the caller's own
    And all of the latter were answered
