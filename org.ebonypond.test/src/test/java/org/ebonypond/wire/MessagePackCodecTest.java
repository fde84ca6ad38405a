package org.ebonypond.wire;

import static org.junit.jupiter.api.Assertions.assertThrows;

import org.ebonypond.consensus.RaftCodec;
import org.ebonypond.errors.EbonypondException;
import org.ebonypond.serving.ServingCodec;
import org.ebonypond.serving.ServingCommand;
import org.junit.jupiter.api.Test;

class MessagePackCodecTest {
  /**
   * Guards against small untrusted input whose length prefixes make the parser allocate gigabytes.
   */
  @Test
  void lengthPrefixesAreNotAllocated() {
    byte[][] inputs = {
      {(byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1},
      {(byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1},
      {(byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1},
      {(byte) 0xdf, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1},
      {(byte) 0xc9, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1},
      {(byte) 0x81, (byte) 0xa1, 'a', (byte) 0xc6, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
    };
    for (byte[] input : inputs) {
      assertThrows(
          EbonypondException.class, () -> MessagePackCodec.decode(input, ServingCommand.class));
      assertThrows(EbonypondException.class, () -> ServingCodec.decodeCommand(input));
      assertThrows(EbonypondException.class, () -> RaftCodec.decodeMessage(input));
    }
  }
}
