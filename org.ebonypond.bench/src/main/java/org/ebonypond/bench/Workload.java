package org.ebonypond.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.ebonypond.document.WorkspaceSpec;
import org.ebonypond.routing.PromptBlocks;

/**
 * Seeded open-loop requests of ten workspaces, three of them large. Prompts start with one of the
 * workspace's templates; some continue an earlier prompt.
 */
final class Workload {
  static final int WORKSPACES = 10;
  static final int LARGE = 3;

  private static final double LARGE_SHARE = 0.75;
  private static final double FOLLOW_UP_SHARE = 0.3;
  private static final int HISTORY = 200;

  private final SplittableRandom random;
  private final double perSecond;
  private final List<List<long[]>> templates = new ArrayList<>();
  private final List<List<long[]>> history = new ArrayList<>();

  /**
   * A request of a workspace.
   *
   * @param gapMillis the time since the previous request in milliseconds
   */
  record Arrival(
      double gapMillis, String workspace, PromptBlocks prompt, int promptTokens, int output) {}

  Workload(long seed, double perSecond) {
    this.random = new SplittableRandom(seed);
    this.perSecond = perSecond;
    for (int w = 0; w < WORKSPACES; w++) {
      List<long[]> list = new ArrayList<>();
      for (int i = 0; i < (w < LARGE ? 30 : 5); i++) {
        list.add(random.longs(8 + random.nextInt(40)).toArray());
      }
      templates.add(list);
      history.add(new ArrayList<>());
    }
  }

  static List<WorkspaceSpec> specs() {
    List<WorkspaceSpec> out = new ArrayList<>();
    for (int w = 0; w < WORKSPACES; w++) {
      out.add(new WorkspaceSpec("w" + w, w < LARGE ? 4 : 1, 200));
    }
    return out;
  }

  Arrival next() {
    final double gap = -Math.log(1 - random.nextDouble()) * 1_000 / perSecond;
    boolean large = random.nextDouble() < LARGE_SHARE;
    int w = large ? random.nextInt(LARGE) : LARGE + random.nextInt(WORKSPACES - LARGE);
    List<long[]> past = history.get(w);
    List<long[]> known = templates.get(w);
    long[] prefix =
        !past.isEmpty() && random.nextDouble() < FOLLOW_UP_SHARE
            ? past.get(random.nextInt(past.size()))
            : known.get(random.nextInt(known.size()));
    long[] own = random.longs(1 + random.nextInt(8)).toArray();
    long[] all = new long[Math.min(PromptBlocks.MAX_BLOCKS, prefix.length + own.length)];
    for (int i = 0; i < all.length; i++) {
      all[i] = i < prefix.length ? prefix[i] : own[i - prefix.length];
    }
    if (past.size() < HISTORY) {
      past.add(all);
    } else {
      past.set(random.nextInt(HISTORY), all);
    }
    double mean = 60 + 24 * w;
    int output = (int) Math.min(2_000, 1 - Math.log(1 - random.nextDouble()) * mean);
    return new Arrival(
        gap,
        "w" + w,
        PromptBlocks.ofHashes(all),
        all.length * EngineModel.BLOCK_TOKENS + random.nextInt(EngineModel.BLOCK_TOKENS),
        output);
  }
}
