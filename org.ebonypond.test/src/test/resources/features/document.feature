Feature: Service document

  Scenario: An unknown key is rejected with its line number
    Given the document
      """
      version = 1
      colour = "red"
      """
    When the document is parsed
    Then it is rejected with "document-unknown-key" on line 2
