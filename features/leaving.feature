Feature: A target that leaves gets no new work after 3 s

  @deployment
  Scenario: A replica leaves by a bundle while callers read
    Given a replica of "surveys" that serves callers
    And callers that read from "surveys" with a bounded age at every VM
    When a bundle names the replica as leaving
    And callers have read 200 answers that they asked for later than 3 s after the roll
    Then the replica served none of these answers
    And every answer of the callers was done
