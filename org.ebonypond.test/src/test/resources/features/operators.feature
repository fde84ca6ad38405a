Feature: Changes by operators

  Background:
    Given document version 1 is in force

  Scenario: Of two documents with the same version, the second is rejected with a conflict
    When operator "ani" applies version 2 with 3 groups in operation "op-a"
    And operator "budi" applies version 2 with 4 groups in operation "op-b"
    Then operation "op-a" is accepted
    And operation "op-b" is rejected with "version-conflict", naming operation "op-a"
    And 3 groups are declared

  Scenario: A change that is sent again after a lost answer takes effect once
    When operator "ani" applies version 2 with 3 groups in operation "op-a"
    And operator "ani" applies version 2 with 3 groups in operation "op-a"
    Then operation "op-a" is accepted
    And document version 2 is in force

  Scenario: A document with an older version is rejected
    When operator "ani" applies version 2 with 3 groups in operation "op-a"
    And operator "budi" applies version 1 with 4 groups in operation "op-b"
    Then operation "op-b" is rejected with "version-conflict", naming operation "op-a"
    And document version 2 is in force

  Scenario: An availability zone is taken out of service and brought back
    When operator "ani" takes availability zone "java-a" out of service
    Then availability zone "java-a" is out of service
    When operator "ani" brings availability zone "java-a" back into service
    Then no availability zone is out of service

  Scenario: Taking an undeclared availability zone out of service has no effect
    When operator "ani" takes availability zone "java-x" out of service
    Then no availability zone is out of service
