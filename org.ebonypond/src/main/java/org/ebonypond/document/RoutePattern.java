package org.ebonypond.document;

/**
 * A method and a path pattern. In the path, {@code *} stands for exactly one segment and a final
 * {@code **} for any number of segments.
 *
 * @param method the HTTP method, upper case
 * @param path the path pattern with a leading slash
 */
public record RoutePattern(String method, String path) {
  private static final String ANY_SEGMENT = "*";
  private static final String ANY_SEGMENTS = "**";

  /** Returns whether the pattern covers the call. A path with dot segments never matches. */
  public boolean matches(String callMethod, String callPath) {
    if (!method.equals(callMethod)) {
      return false;
    }
    String[] want = path.split("/", -1);
    String[] have = callPath.split("/", -1);
    for (String segment : have) {
      if (segment.equals(".") || segment.equals("..")) {
        return false;
      }
    }
    for (int i = 0; i < want.length; i++) {
      if (want[i].equals(ANY_SEGMENTS) && i == want.length - 1) {
        return have.length > i;
      }
      if (i >= have.length) {
        return false;
      }
      boolean any = want[i].equals(ANY_SEGMENT) && !have[i].isEmpty();
      if (!any && !want[i].equals(have[i])) {
        return false;
      }
    }
    return want.length == have.length;
  }

  @Override
  public String toString() {
    return method + " " + path;
  }
}
