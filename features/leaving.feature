Feature: A leaving target receives no new requests after 3 s

  @deployment
  Scenario: A bundle marks a replica as leaving while callers read
    Given a replica of "surveys" that serves reads
    And callers that repeatedly read from "surveys" with a bounded age at every VM
    When a bundle marks the replica as leaving
    And callers have received 200 answers to reads sent more than 3 s after the roll
    Then the replica served none of these reads
    And every read succeeded
