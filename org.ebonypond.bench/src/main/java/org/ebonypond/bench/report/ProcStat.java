package org.ebonypond.bench.report;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The resource usage of a process, from {@code /proc}.
 *
 * @param cpuSeconds the CPU time in user and kernel mode since its start, in seconds
 * @param residentBytes the current resident set size in bytes
 */
public record ProcStat(double cpuSeconds, long residentBytes) {
  /** The unit of times in /proc: USER_HZ is 100 on all supported platforms. */
  private static final double TICKS_PER_SECOND = 100;

  /**
   * The index of utime, counted from the field after the command name: the state is 0, utime is 11
   * and stime is 12.
   */
  private static final int UTIME = 11;

  private static final int STIME = 12;
  private static final int BYTES_PER_KB = 1_024;

  /**
   * Reads a running process.
   *
   * @throws IOException if there is no such process
   */
  public static ProcStat read(long pid) throws IOException {
    Path folder = Path.of("/proc", String.valueOf(pid));
    return parse(
        Files.readString(folder.resolve("stat")), Files.readAllLines(folder.resolve("status")));
  }

  /** Parses the content of the files {@code stat} and {@code status}. */
  static ProcStat parse(String stat, List<String> status) {
    // The command name is in parentheses and may contain spaces and parentheses.
    String[] fields = stat.substring(stat.lastIndexOf(')') + 2).trim().split(" ");
    double ticks = Long.parseLong(fields[UTIME]) + Long.parseLong(fields[STIME]);
    for (String line : status) {
      if (line.startsWith("VmRSS:")) {
        String[] words = line.trim().split("\\s+");
        return new ProcStat(ticks / TICKS_PER_SECOND, Long.parseLong(words[1]) * BYTES_PER_KB);
      }
    }
    throw new IllegalArgumentException("the status has no VmRSS line");
  }
}
