package org.ebonypond.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ebonypond.document.WorkspaceSpec;
import org.ebonypond.routing.PromptBlocks;

/**
 * Generates open-loop requests of ten workspaces, three of them large, from a seed. A prompt starts
 * with a template of its workspace or continues an earlier prompt.
 */
final class Workload {
  static final int WORKSPACES = 10;
  static final int LARGE_WORKSPACES = 3;

  private static final double LARGE_FRACTION = 0.75;
  private static final double FOLLOW_UP_FRACTION = 0.3;
  private static final int HISTORY_SIZE = 200;

  private final SplittableRandom random;
  private final double perSecond;
  private final List<List<long[]>> templates = new ArrayList<>();
  private final List<List<long[]>> history = new ArrayList<>();

  /**
   * A request of a workspace.
   *
   * @param gapMillis the time since the previous request, in milliseconds
   * @param promptTokens the prompt length in tokens
   * @param outputTokens the answer length in tokens
   */
  record Arrival(
      double gapMillis,
      String workspace,
      PromptBlocks prompt,
      int promptTokens,
      int outputTokens) {}

  Workload(long seed, double perSecond) {
    this.random = new SplittableRandom(seed);
    this.perSecond = perSecond;
    for (int w = 0; w < WORKSPACES; w++) {
      List<long[]> list = new ArrayList<>();
      for (int i = 0; i < (w < LARGE_WORKSPACES ? 30 : 5); i++) {
        list.add(random.longs(8 + random.nextInt(40)).toArray());
      }
      templates.add(list);
      history.add(new ArrayList<>());
    }
  }

  static List<WorkspaceSpec> specs() {
    List<WorkspaceSpec> out = new ArrayList<>();
    for (int w = 0; w < WORKSPACES; w++) {
      out.add(new WorkspaceSpec("w" + w, w < LARGE_WORKSPACES ? 4 : 1, 200));
    }
    return out;
  }

  Arrival next() {
    final double gap = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    boolean large = random.nextDouble() < LARGE_FRACTION;
    int w =
        large
            ? random.nextInt(LARGE_WORKSPACES)
            : LARGE_WORKSPACES + random.nextInt(WORKSPACES - LARGE_WORKSPACES);
    List<long[]> earlier = history.get(w);
    List<long[]> choices = templates.get(w);
    long[] prefix =
        !earlier.isEmpty() && random.nextDouble() < FOLLOW_UP_FRACTION
            ? earlier.get(random.nextInt(earlier.size()))
            : choices.get(random.nextInt(choices.size()));
    long[] suffix = random.longs(1 + random.nextInt(8)).toArray();
    long[] hashes = new long[Math.min(PromptBlocks.MAX_BLOCKS, prefix.length + suffix.length)];
    for (int i = 0; i < hashes.length; i++) {
      hashes[i] = i < prefix.length ? prefix[i] : suffix[i - prefix.length];
    }
    if (earlier.size() < HISTORY_SIZE) {
      earlier.add(hashes);
    } else {
      earlier.set(random.nextInt(HISTORY_SIZE), hashes);
    }
    double mean = 60 + 24 * w;
    int outputTokens = (int) Math.min(2_000, 1 - Math.log(1 - random.nextDouble()) * mean);
    return new Arrival(
        gap,
        "w" + w,
        PromptBlocks.ofHashes(hashes),
        hashes.length * EngineModel.BLOCK_TOKENS + random.nextInt(EngineModel.BLOCK_TOKENS),
        outputTokens);
  }
}
