package org.ebonypond.document;

/**
 * A method and a path pattern. In the path, {@code *} matches exactly one segment, and a final
 * {@code **} matches any number of segments.
 *
 * @param method the HTTP method, upper case
 * @param path the path pattern with a leading slash
 */
public record RoutePattern(String method, String path) {
  private static final String ANY_SEGMENT = "*";
  private static final String ANY_SEGMENTS = "**";

  /** Returns whether the pattern matches a call. A path with dot segments never matches. */
  public boolean matches(String callMethod, String callPath) {
    if (!method.equals(callMethod)) {
      return false;
    }
    String[] patternSegments = path.split("/", -1);
    String[] callSegments = callPath.split("/", -1);
    for (String segment : callSegments) {
      if (segment.equals(".") || segment.equals("..")) {
        return false;
      }
    }
    for (int i = 0; i < patternSegments.length; i++) {
      if (patternSegments[i].equals(ANY_SEGMENTS) && i == patternSegments.length - 1) {
        return callSegments.length > i;
      }
      if (i >= callSegments.length) {
        return false;
      }
      boolean any = patternSegments[i].equals(ANY_SEGMENT) && !callSegments[i].isEmpty();
      if (!any && !patternSegments[i].equals(callSegments[i])) {
        return false;
      }
    }
    return patternSegments.length == callSegments.length;
  }

  @Override
  public String toString() {
    return method + " " + path;
  }
}
