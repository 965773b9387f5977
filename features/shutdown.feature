Feature: SIGTERM cuts no request in flight

  @deployment
  Scenario Outline: A program ends under load
    When the <program> of "<vm>" gets SIGTERM while requests of 200 ms are in flight at every VM
    Then it exits with 0
    And every request in flight was done

    Examples:
      | program | vm  |
      | pool    | vm1 |
      | pool    | vm2 |
      | entry   | vm1 |
