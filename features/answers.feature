Feature: Every caller gets the complete answer to its own request

  @deployment
  Scenario: Callers reset their connections during a large answer
    Given 6 callers that repeatedly read 2000 rows each from "caves" at "vm1"
    When 10 other callers reset their connections to "vm1" during an answer of 50000 rows
    And each of the callers has received 3 more answers
    Then every answer was complete and belonged to its caller's request

  @deployment
  Scenario: Answers of the pools are delayed beyond the deadline of some callers
    Given the targets of "caves" delay their responses by 300 ms
    When 10 callers read from "caves" at "vm1" with a deadline of 100 ms
    And 10 callers read from "caves" at "vm1" with a deadline of 4000 ms
    Then every successful answer was complete and belonged to its caller's request
    And all reads of the last group succeeded
