package org.ebonypond.features;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.ebonypond.document.DocumentParser;
import org.ebonypond.errors.EbonypondException;

/** The steps of {@code document.feature}. */
public class DocumentSteps {
  private String text = "";
  private EbonypondException failure;

  @Given("the document")
  public void document(String toml) {
    text = toml;
  }

  /** Parses the document and keeps the exception, if one is thrown. */
  @When("the document is parsed")
  public void parse() {
    try {
      DocumentParser.parse(text);
    } catch (EbonypondException e) {
      failure = e;
    }
  }

  @Then("it is rejected with {string} on line {int}")
  public void rejected(String code, int line) {
    assertEquals(code, failure.code().wireName());
    assertTrue(failure.getMessage().startsWith("line " + line + ":"), failure.getMessage());
  }
}
