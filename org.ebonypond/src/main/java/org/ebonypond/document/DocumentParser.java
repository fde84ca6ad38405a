package org.ebonypond.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.errors.ErrorCode;
import org.tomlj.Toml;
import org.tomlj.TomlParseError;
import org.tomlj.TomlParseResult;

/** Parses and validates the TOML text of a service document. */
public final class DocumentParser {
  private static final int MAX_CONCURRENCY = 100_000;
  private static final int MAX_GROUPS_PER_ZONE = 10_000;
  private static final int MAX_INSTANCES_PER_GROUP = 64;
  private static final int MAX_WARM_SECONDS = 3_600;
  private static final int MAX_WEIGHT = 1_000;
  private static final int MAX_QUEUED = 100_000;
  private static final int MAX_DEADLINE_MILLIS = 3_600_000;
  private static final Set<String> METHODS =
      Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");

  private DocumentParser() {}

  /**
   * Parses and validates a service document.
   *
   * @param toml the TOML text
   * @return the validated document
   * @throws EbonypondException {@code document-…} with the line, the key and a remedy
   */
  public static ServiceDocument parse(String toml) {
    TableReader root = new TableReader(parseToml(toml), "", 1);
    final int version = root.integer("version", 1, Integer.MAX_VALUE);
    final List<EngineKindSpec> kinds =
        readAll(root, "engine_kind", DocumentParser::engineKind, EngineKindSpec::name);
    Set<String> kindNames = new HashSet<>();
    kinds.forEach(k -> kindNames.add(k.name()));
    final List<ModelSpec> models =
        readAll(root, "model", r -> model(r, kindNames), ModelSpec::name);
    final List<ServiceSpec> services =
        readAll(root, "service", DocumentParser::service, ServiceSpec::name);
    final List<WorkspaceSpec> workspaces =
        readAll(root, "workspace", DocumentParser::workspace, WorkspaceSpec::name);
    final LimitsSpec limits = limits(root);
    root.rejectUnknownKeys();
    return new ServiceDocument(version, models, services, kinds, workspaces, limits, toml);
  }

  /**
   * Parses TOML text without checking its keys.
   *
   * @param toml the TOML text
   * @throws EbonypondException {@code document-syntax} with the line and the column
   */
  public static TomlParseResult parseToml(String toml) {
    TomlParseResult result = Toml.parse(toml);
    if (result.hasErrors()) {
      TomlParseError e = result.errors().get(0);
      throw new EbonypondException(
          ErrorCode.DOCUMENT_SYNTAX,
          String.valueOf(e.position().line()),
          String.valueOf(e.position().column()),
          e.getMessage());
    }
    return result;
  }

  private static <T> List<T> readAll(
      TableReader root, String key, Function<TableReader, T> read, Function<T, String> name) {
    List<T> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (TableReader r : root.tables(key)) {
      T t = read.apply(r);
      r.rejectUnknownKeys();
      if (!names.add(name.apply(t))) {
        throw r.badValue(
            "name", "\"" + name.apply(t) + "\" is declared twice", "rename or remove one");
      }
      out.add(t);
    }
    return out;
  }

  private static EngineKindSpec engineKind(TableReader r) {
    return new EngineKindSpec(r.name("name", "batcher"), r.bool("checks_fencing", false));
  }

  private static ModelSpec model(TableReader r, Set<String> kinds) {
    final String name = r.name("name", "drafter-70b");
    final String version = r.name("version", "2026-11");
    final List<String> adapters = r.strings("adapters");
    final String kind = r.name("engine_kind", "batcher");
    if (!kinds.contains(kind)) {
      throw r.badReference("engine_kind", kind, "engine_kind");
    }
    List<String> zones = r.strings("zones");
    if (zones.isEmpty()) {
      throw r.badValue("zones", "names no availability zone", "name at least one");
    }
    final int groups = r.integer("groups_per_zone", 0, MAX_GROUPS_PER_ZONE);
    final int size = r.integer("instances_per_group", 1, MAX_INSTANCES_PER_GROUP);
    final int maxConcurrency = r.integer("max_concurrency", 1, MAX_CONCURRENCY);
    final int coldCeiling = coldCeiling(r, maxConcurrency);
    final int warmSeconds = r.integer("warm_seconds", 0, MAX_WARM_SECONDS);
    return new ModelSpec(
        name,
        version,
        adapters,
        kind,
        zones,
        groups,
        size,
        maxConcurrency,
        coldCeiling,
        warmSeconds);
  }

  private static ServiceSpec service(TableReader r) {
    final String name = r.name("name", "orders");
    final int maxConcurrency = r.integer("max_concurrency", 1, MAX_CONCURRENCY);
    final int coldCeiling = coldCeiling(r, maxConcurrency);
    final int warmSeconds = r.integer("warm_seconds", 0, MAX_WARM_SECONDS);
    List<RoutePattern> patterns = new ArrayList<>();
    for (String s : r.strings("idempotent")) {
      patterns.add(routePattern(r, s));
    }
    return new ServiceSpec(name, maxConcurrency, coldCeiling, warmSeconds, patterns);
  }

  private static int coldCeiling(TableReader r, int maxConcurrency) {
    int coldCeiling = r.integer("cold_ceiling", 1, MAX_CONCURRENCY);
    if (coldCeiling > maxConcurrency) {
      throw r.badValue(
          "cold_ceiling",
          coldCeiling + " is above max_concurrency",
          "use a value from 1 to " + maxConcurrency);
    }
    return coldCeiling;
  }

  private static RoutePattern routePattern(TableReader r, String text) {
    String[] parts = text.split(" ", -1);
    boolean valid =
        parts.length == 2 && METHODS.contains(parts[0]) && parts[1].matches("/[^?#\\s]*");
    if (!valid) {
      throw r.badValue(
          "idempotent",
          "\"" + text + "\" is not a method and a path",
          "write it like \"GET /orders/*\"");
    }
    return new RoutePattern(parts[0].toUpperCase(Locale.ROOT), parts[1]);
  }

  private static WorkspaceSpec workspace(TableReader r) {
    return new WorkspaceSpec(
        r.name("name", "surabaya"),
        r.integer("weight", 1, MAX_WEIGHT, 1),
        r.integer("max_queued", 1, MAX_QUEUED, 200));
  }

  private static LimitsSpec limits(TableReader root) {
    TableReader r = root.table("limits");
    if (r == null) {
      return LimitsSpec.DEFAULT;
    }
    LimitsSpec defaults = LimitsSpec.DEFAULT;
    LimitsSpec limits =
        new LimitsSpec(
            r.integer(
                "default_deadline_ms", 1, MAX_DEADLINE_MILLIS, defaults.defaultDeadlineMillis()),
            r.integer("retry_budget_percent", 0, 100, defaults.retryBudgetPercent()));
    r.rejectUnknownKeys();
    return limits;
  }
}
