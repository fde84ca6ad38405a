package org.ebonypond.document;

import java.util.List;
import java.util.Optional;

/**
 * The validated document in which operators declare the models and services to run; immutable.
 *
 * @param version the version, one above that of the replaced document
 * @param models the models to serve
 * @param services the plain services
 * @param engineKinds the engine kinds
 * @param workspaces the workspaces that share the capacity
 * @param limits the limits that apply to all workspaces
 * @param source the TOML text as it was applied
 */
public record ServiceDocument(
    long version,
    List<ModelSpec> models,
    List<ServiceSpec> services,
    List<EngineKindSpec> engineKinds,
    List<WorkspaceSpec> workspaces,
    LimitsSpec limits,
    String source) {
  /** Copies the lists. */
  public ServiceDocument {
    models = List.copyOf(models);
    services = List.copyOf(services);
    engineKinds = List.copyOf(engineKinds);
    workspaces = List.copyOf(workspaces);
  }

  /** Returns the model with a name. */
  public Optional<ModelSpec> model(String name) {
    return models.stream().filter(m -> m.name().equals(name)).findFirst();
  }

  /** Returns the plain service with a name. */
  public Optional<ServiceSpec> service(String name) {
    return services.stream().filter(s -> s.name().equals(name)).findFirst();
  }

  /** Returns the workspace with a name. */
  public Optional<WorkspaceSpec> workspace(String name) {
    return workspaces.stream().filter(w -> w.name().equals(name)).findFirst();
  }

  /**
   * Returns whether engines of a kind refuse orders with an old fencing number; false for an
   * unknown kind.
   */
  public boolean checksFencing(String engineKind) {
    return engineKinds.stream().anyMatch(k -> k.name().equals(engineKind) && k.checksFencing());
  }
}
