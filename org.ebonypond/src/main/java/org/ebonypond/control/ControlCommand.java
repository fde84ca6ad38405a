package org.ebonypond.control;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.List;

/**
 * A command of the control log. Each command is one log entry, and applying it is deterministic.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "command")
@JsonSubTypes({
  @JsonSubTypes.Type(value = ControlCommand.ApplyDocument.class, name = "apply-document"),
  @JsonSubTypes.Type(value = ControlCommand.SetZone.class, name = "set-zone"),
  @JsonSubTypes.Type(value = ControlCommand.RegisterInstance.class, name = "register-instance"),
  @JsonSubTypes.Type(value = ControlCommand.InstanceDown.class, name = "instance-down"),
  @JsonSubTypes.Type(value = ControlCommand.InstanceLeaving.class, name = "instance-leaving"),
  @JsonSubTypes.Type(value = ControlCommand.RemoveInstance.class, name = "remove-instance"),
  @JsonSubTypes.Type(value = ControlCommand.FormGroup.class, name = "form-group"),
  @JsonSubTypes.Type(value = ControlCommand.GroupReady.class, name = "group-ready"),
  @JsonSubTypes.Type(value = ControlCommand.ReplaceMember.class, name = "replace-member"),
  @JsonSubTypes.Type(value = ControlCommand.DrainGroup.class, name = "drain-group"),
  @JsonSubTypes.Type(value = ControlCommand.DissolveGroup.class, name = "dissolve-group")
})
public sealed interface ControlCommand {
  /**
   * Replaces the document if the new version is one above the version in force.
   *
   * @param version the version that the operator states; must equal the version in the content
   * @param content the TOML text
   * @param operationId the operator's identifier of this change; a repeat returns the first result
   */
  record ApplyDocument(long version, String content, String operationId)
      implements ControlCommand {}

  /**
   * Takes an availability zone out of service or brings it back.
   *
   * @param zone the availability zone
   * @param out true to take it out
   * @param operationId the operator's identifier of this change; a repeat returns the first result
   */
  record SetZone(String zone, boolean out, String operationId) implements ControlCommand {}

  /**
   * Registers a new instance, a new boot of an instance, or an instance that was down.
   *
   * @param instance the instance's name
   * @param boot the boot identity
   * @param address host and port of its HTTP interface
   * @param zone the availability zone
   * @param domain the fabric domain
   * @param kind whether it runs an engine or a plain service
   * @param flavor the engine kind or the service name
   */
  record RegisterInstance(
      String instance,
      String boot,
      String address,
      String zone,
      String domain,
      InstanceKind kind,
      String flavor)
      implements ControlCommand {}

  /**
   * Marks a boot of an instance as down.
   *
   * @param instance the instance's name
   * @param boot the boot identity that is down
   * @param reason the reason, for display
   */
  record InstanceDown(String instance, String boot, String reason) implements ControlCommand {}

  /**
   * Marks a boot of an instance as leaving; it cannot join a group any more.
   *
   * @param instance the instance's name
   * @param boot the boot identity that leaves
   */
  record InstanceLeaving(String instance, String boot) implements ControlCommand {}

  /**
   * Removes an instance that is down and belongs to no group from the registry.
   *
   * @param instance the instance's name
   * @param boot the boot identity in the registry
   */
  record RemoveInstance(String instance, String boot) implements ControlCommand {}

  /**
   * Forms a group from free instances of one fabric domain and one availability zone.
   *
   * @param group the group's name; ends in a number greater than that of every earlier group
   * @param model the model's name
   * @param version the model's version in the document in force
   * @param adapters the model's adapters in the document in force
   * @param members the members by rank
   */
  record FormGroup(
      String group, String model, String version, List<String> adapters, List<GroupMember> members)
      implements ControlCommand {
    /** Copies the lists. */
    public FormGroup {
      adapters = List.copyOf(adapters);
      members = List.copyOf(members);
    }
  }

  /**
   * Marks a group as ready after every member has confirmed its current epoch.
   *
   * @param group the group's name
   * @param epoch the epoch that the members confirmed
   */
  record GroupReady(String group, long epoch) implements ControlCommand {}

  /**
   * Replaces a member, or readmits the same instance after it returned.
   *
   * @param group the group's name
   * @param epoch the epoch on which the decision was based
   * @param out the instance that leaves the group
   * @param in the instance that takes its rank, with its current boot identity
   */
  record ReplaceMember(String group, long epoch, String out, GroupMember in)
      implements ControlCommand {}

  /**
   * Drains a group, so that it receives no new requests.
   *
   * @param group the group's name
   * @param epoch the epoch on which the decision was based
   * @param reason the reason, for display
   */
  record DrainGroup(String group, long epoch, String reason) implements ControlCommand {}

  /**
   * Removes a group that is not ready and frees its members.
   *
   * @param group the group's name
   * @param epoch the epoch on which the decision was based
   * @param reason the reason, for display
   */
  record DissolveGroup(String group, long epoch, String reason) implements ControlCommand {}
}
