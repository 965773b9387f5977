Feature: SIGTERM interrupts no request in flight

  @deployment
  Scenario Outline: A program is terminated under load
    When the <program> of "<vm>" receives SIGTERM while requests of 200 ms are in flight at every VM
    Then it exits with status 0
    And every request in flight succeeded

    Examples:
      | program | vm  |
      | pool    | vm1 |
      | pool    | vm2 |
      | entry   | vm1 |
