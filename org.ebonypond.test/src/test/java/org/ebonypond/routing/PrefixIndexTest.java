package org.ebonypond.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.ebonypond.control.InstanceKind;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class PrefixIndexTest {
  private final Views views = new Views(10).withGroups(1);
  private final Target target = views.group("g0");
  private final PromptBlocks four = PromptBlocks.of("a".repeat(4 * 256 + 17));

  private static CacheEvent stored(long seq, PromptBlocks p) {
    return new CacheEvent(seq, true, p);
  }

  @Test
  void hashesSharePrefixOfEqualBlocksOnly() {
    PromptBlocks other = PromptBlocks.of("a".repeat(2 * 256) + "b".repeat(2 * 256));
    assertEquals(4, four.size());
    assertEquals(four.hash(1), other.hash(1));
    assertTrue(four.hash(2) != other.hash(2) && four.hash(0) != four.hash(1));
  }

  /**
   * Guards against full confidence in blocks whose removal events were missed, and against events
   * that are applied again.
   */
  @Test
  void gapLowersConfidenceAndRepeatedEventHasNoEffect() {
    PrefixIndex index = new PrefixIndex(1_024);
    index.onRouted(target, four);
    double hint = index.cachedBlocks(target, four);
    index.onEvents(target, "boot1", List.of(stored(1, four)));
    assertEquals(4, index.cachedBlocks(target, four));
    assertTrue(hint > 0 && hint < 4, "hint " + hint);
    index.onEvents(target, "boot1", List.of(new CacheEvent(2, false, four)));
    assertEquals(3, index.cachedBlocks(target, four));
    index.onEvents(target, "boot1", List.of(stored(1, four)));
    assertEquals(3, index.cachedBlocks(target, four));
    PromptBlocks other = PromptBlocks.of("c".repeat(256));
    index.onEvents(target, "boot1", List.of(stored(9, other)));
    assertEquals(1.5, index.cachedBlocks(target, four));
    assertEquals(1, index.cachedBlocks(target, other));
    assertEquals(9, index.lastSeq(target));
  }

  /** Guards against blocks from before a restart, after which the cache is empty. */
  @Test
  void newBootClearsIndexOfTarget() {
    PrefixIndex index = new PrefixIndex(1_024);
    index.onEvents(target, "boot1", List.of(stored(1, four)));
    views.up("g0a", "boot2", "z0", InstanceKind.ENGINE);
    Target again =
        new Target(
            target.key(),
            target.kind(),
            target.pool(),
            target.zone(),
            target.address(),
            List.of(new org.ebonypond.control.GroupMember("g0a", "boot2")),
            9,
            10);
    assertEquals(0, index.cachedBlocks(again, four));
    index.onEvents(again, "boot1", List.of(stored(2, four)));
    assertEquals(0, index.cachedBlocks(again, four));
    index.onEvents(again, "boot2", List.of(stored(1, four)));
    assertEquals(4, index.cachedBlocks(again, four));
  }

  /** Guards against unbounded memory, and against eviction of recently used prefixes. */
  @ParameterizedTest
  @MethodSource("org.ebonypond.junit.Seeds#few")
  void memoryIsBoundedAndUsedPrefixesStay(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    PrefixIndex index = new PrefixIndex(256);
    PromptBlocks used = PromptBlocks.ofHashes(random.longs(8).toArray());
    for (int i = 1; i <= 5_000; i++) {
      PromptBlocks p = PromptBlocks.ofHashes(random.longs(4).toArray());
      index.onEvents(target, "boot1", List.of(stored(2 * i - 1, p), stored(2 * i, used)));
    }
    assertTrue(index.size(target.key()) <= 256);
    assertTrue(index.bytes() <= 256 * 13);
    assertEquals(8, index.cachedBlocks(target, used));
  }
}
