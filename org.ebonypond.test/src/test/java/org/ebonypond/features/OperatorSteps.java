package org.ebonypond.features;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.ebonypond.control.ControlCommand;
import org.ebonypond.control.ControlResult;
import org.ebonypond.control.ControlState;
import org.ebonypond.control.ControlView;
import org.ebonypond.events.EventSink;

/** The steps of {@code operators.feature}; the changes are applied to one control state. */
public class OperatorSteps {
  private static final String DOCUMENT =
      """
      version = %d
      [[engine_kind]]
      name = "batcher"
      [[model]]
      name = "drafter"
      version = "2026-11"
      engine_kind = "batcher"
      zones = ["java-a"]
      groups_per_zone = %d
      instances_per_group = 2
      max_concurrency = 16
      cold_ceiling = 2
      warm_seconds = 20
      """;

  private final ControlState state = new ControlState(EventSink.NONE);
  private final Map<String, ControlResult> results = new HashMap<>();
  private long index;

  @Given("document version {int} is in force")
  public void inForce(int version) {
    if (state.view().document() == null) {
      apply("", version, 1, "first");
    }
    ControlView v = state.view();
    assertEquals(version, v.document().version());
  }

  @When("operator {string} applies version {int} with {int} groups in operation {string}")
  public void apply(String operator, int version, int groups, String operation) {
    String content = DOCUMENT.formatted(version, groups);
    results.put(
        operation,
        state.apply(++index, new ControlCommand.ApplyDocument(version, content, operation)));
  }

  @When("operator {string} takes availability zone {string} out of service")
  public void zoneOut(String operator, String zone) {
    state.apply(++index, new ControlCommand.SetZone(zone, true, "zone-" + index));
  }

  @When("operator {string} brings availability zone {string} back into service")
  public void zoneIn(String operator, String zone) {
    state.apply(++index, new ControlCommand.SetZone(zone, false, "zone-" + index));
  }

  @Then("operation {string} is accepted")
  public void accepted(String operation) {
    assertTrue(results.get(operation).inForce());
  }

  @Then("operation {string} is rejected with {string}, naming operation {string}")
  public void rejected(String operation, String code, String conflictingOperation) {
    ControlResult.Rejected r = (ControlResult.Rejected) results.get(operation);
    assertEquals(code, r.code().wireName());
    assertEquals(conflictingOperation, r.documentAuthor());
    assertTrue(r.message().contains(conflictingOperation), r.message());
  }

  @Then("{int} groups are declared")
  public void declared(int groups) {
    assertEquals(groups, state.view().document().model("drafter").orElseThrow().groupsPerZone());
  }

  @Then("availability zone {string} is out of service")
  public void isOut(String zone) {
    assertEquals(Set.of(zone), state.view().zonesOut());
  }

  @Then("no availability zone is out of service")
  public void noneIsOut() {
    assertEquals(Set.of(), state.view().zonesOut());
  }
}
