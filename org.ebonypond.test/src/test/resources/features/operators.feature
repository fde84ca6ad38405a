Feature: Operators change the system

  Background:
    Given document version 1 is in force

  Scenario: Of two operators with equal versions one is accepted and the other is told
    When operator "ani" applies version 2 with 3 groups in operation "op-a"
    And operator "budi" applies version 2 with 4 groups in operation "op-b"
    Then operation "op-a" is accepted
    And operation "op-b" is rejected with "version-conflict" naming "op-a"
    And 3 groups are declared

  Scenario: A change whose answer was lost is sent again
    When operator "ani" applies version 2 with 3 groups in operation "op-a"
    And operator "ani" applies version 2 with 3 groups in operation "op-a"
    Then operation "op-a" is accepted
    And document version 2 is in force

  Scenario: An old document does not come back
    When operator "ani" applies version 2 with 3 groups in operation "op-a"
    And operator "budi" applies version 1 with 4 groups in operation "op-b"
    Then operation "op-b" is rejected with "version-conflict" naming "op-a"
    And document version 2 is in force

  Scenario: An availability zone is taken out and brought back
    When operator "ani" takes availability zone "java-a" out
    Then availability zone "java-a" is out of service
    When operator "ani" brings availability zone "java-a" back
    Then no availability zone is out of service

  Scenario: An availability zone that nothing declares is refused
    When operator "ani" takes availability zone "java-x" out
    Then no availability zone is out of service
