package org.ebonypond.server.settings;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.ebonypond.document.DocumentParser;
import org.ebonypond.document.TableReader;
import org.ebonypond.errors.EbonypondException;

/** Parses and validates the TOML settings of a daemon. */
public final class SettingsParser {
  private static final int MAX_LEDGER_SHARDS = 64;
  private static final int MAX_DRAIN_NOTICE_MILLIS = 600_000;
  private static final int DEFAULT_DRAIN_NOTICE_MILLIS = 3_000;
  private static final int MAX_TRACE_MEGABYTES = 10_000;
  private static final int DEFAULT_TRACE_MEGABYTES = 64;
  private static final int MAX_PORT = 65_535;

  private SettingsParser() {}

  /**
   * Parses and validates settings.
   *
   * @param toml the content of the settings file
   * @throws EbonypondException {@code document-…} with the line, the key and a suggested fix
   */
  public static DaemonSettings parse(String toml) {
    TableReader root = new TableReader(DocumentParser.parseToml(toml), "", 1);
    final String node = root.name("node", "entry-a");
    final String zone = root.name("zone", "java-a");
    final InetSocketAddress http = address(root, "http", "127.0.0.1:8080");
    final InetSocketAddress peer = address(root, "peer", "127.0.0.1:9080");
    final String folder = root.string("data_folder", "data", "");
    final int shards = root.integer("ledger_shards", 1, MAX_LEDGER_SHARDS, 2);
    final int notice =
        root.integer("drain_notice_ms", 0, MAX_DRAIN_NOTICE_MILLIS, DEFAULT_DRAIN_NOTICE_MILLIS);
    final String routing = root.string("routing_policy", "prefix-tokens", "prefix-tokens");
    final String placement = root.string("placement_policy", "scored", "scored");
    final String trace = root.string("trace_file", "leader.trace", "");
    final int traceSize =
        root.integer("trace_max_mb", 1, MAX_TRACE_MEGABYTES, DEFAULT_TRACE_MEGABYTES);
    final List<ReplicaAddress> replicas = replicas(root);
    root.rejectUnknownKeys();
    boolean listed = replicas.stream().anyMatch(r -> r.name().equals(node));
    if (listed && folder.isEmpty()) {
      throw root.badValue(
          "data_folder", "is missing, but this node is listed as a replica", "set the folder");
    }
    if (!listed && !folder.isEmpty()) {
      throw root.badValue(
          "data_folder",
          "is set, but no [[replica]] table names \"" + node + "\"",
          "add the table or remove the key");
    }
    if (!listed && !trace.isEmpty()) {
      throw root.badValue("trace_file", "is set, but this node is not a replica", "remove the key");
    }
    Path path = folder.isEmpty() ? null : Path.of(folder);
    return new DaemonSettings(
        node,
        zone,
        http,
        peer,
        path,
        replicas,
        shards,
        notice,
        routing,
        placement,
        trace.isEmpty() ? null : Path.of(trace),
        traceSize);
  }

  private static List<ReplicaAddress> replicas(TableReader root) {
    List<ReplicaAddress> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    for (TableReader r : root.tables("replica")) {
      String name = r.name("name", "entry-a");
      out.add(new ReplicaAddress(name, address(r, "peer", "127.0.0.1:9080")));
      r.rejectUnknownKeys();
      if (!names.add(name)) {
        throw r.badValue("name", "\"" + name + "\" is listed twice", "remove one");
      }
    }
    if (out.size() != 1 && out.size() != 3 && out.size() != 5) {
      throw root.badValue(
          "replica", "lists " + out.size() + " control replicas", "list 3 or 5 (1 for a trial)");
    }
    return out;
  }

  private static InetSocketAddress address(TableReader r, String key, String example) {
    String text = r.string(key, example);
    int colon = text.lastIndexOf(':');
    String host = colon < 0 ? "" : text.substring(0, colon);
    boolean numeric = host.matches("[0-9.]+|\\[[0-9a-fA-F:.]+]");
    if (!numeric || !text.substring(colon + 1).matches("[0-9]{1,5}")) {
      throw r.badValue(
          key, "\"" + text + "\" is not an IP address and port", "write it like " + example);
    }
    int port = Integer.parseInt(text.substring(colon + 1));
    if (port < 1 || port > MAX_PORT) {
      throw r.badValue(key, port + " is not a port", "use a value from 1 to " + MAX_PORT);
    }
    try {
      // The host is numeric, so this does no DNS lookup.
      return new InetSocketAddress(InetAddress.getByName(host), port);
    } catch (UnknownHostException e) {
      throw r.badValue(key, "\"" + host + "\" is not an IP address", "write it like " + example);
    }
  }
}
