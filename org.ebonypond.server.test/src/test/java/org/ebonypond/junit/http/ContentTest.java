package org.ebonypond.junit.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.math.BigInteger;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ContentTest {
  /** Guards against a resumed answer that differs from the remainder of the original answer. */
  @Property(tries = 200)
  void resumedAnswerEqualsRest(@ForAll String prompt, @ForAll @IntRange(max = 40) int offset) {
    String whole = EngineContent.text(prompt, 0, 40);
    assertEquals(
        whole, EngineContent.text(prompt, 0, offset) + EngineContent.text(prompt, offset, 40));
  }

  /** Guards against equal tokens, which would hide swapped tokens and answers to other requests. */
  @Test
  void tokensDifferByPromptAndIndex() {
    Set<String> tokens = new HashSet<>();
    for (int p = 0; p < 100; p++) {
      for (int i = 0; i < 100; i++) {
        tokens.add(EngineContent.token("prompt " + p, i));
      }
    }
    assertEquals(10_000, tokens.size());
  }

  /** Guards against an unintended change of the tokens, which the load tool computes as well. */
  @Test
  void tokensAreStable() throws JsonProcessingException {
    String json = "{\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}],\"max_tokens\":4}";
    String prompt = EngineContent.prompt(new ObjectMapper().readTree(json));
    assertEquals("user: hello\n", prompt);
    assertEquals("tari99s52 t4hkothrh tc7busup6 t9mp5qrin ", EngineContent.text(prompt, 0, 4));
  }

  /** Guards against names in cache events that an entry cannot compute from the prompt. */
  @Test
  void prefixesAreChainedHashesOfWholeBlocks() throws NoSuchAlgorithmException {
    String prompt = "a".repeat(256) + "b".repeat(256) + "c";
    List<String> prefixes = EngineContent.prefixes(prompt);
    assertEquals(2, prefixes.size());
    assertEquals(sha256(prompt.substring(0, 256)), prefixes.get(0));
    assertEquals(sha256(prompt.substring(0, 512)), prefixes.get(1));
    assertEquals(List.of(), EngineContent.prefixes("a".repeat(255)));
  }

  private static String sha256(String text) throws NoSuchAlgorithmException {
    byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(UTF_8));
    return String.format("%016x", new BigInteger(1, hash).shiftRight(192));
  }

  /** Guards against equal receipts of different calls, which would hide swapped answers. */
  @Test
  void receiptDependsOnKeyAndBody() {
    String receipt = ServiceContent.execution("orders", "k1", "{}");
    assertEquals(receipt, ServiceContent.execution("orders", "k1", "{}"));
    assertNotEquals(receipt, ServiceContent.execution("orders", "k1", "[]"));
    assertNotEquals(receipt, ServiceContent.execution("orders", "k2", "{}"));
    assertNotEquals(ServiceContent.lookup("orders/1"), ServiceContent.lookup("orders/2"));
  }
}
