package merlinrouter.node.logging;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * Formats a library's warning as one line without a time. The JDK's own formatter opens the time
 * zone file for its first line; when no file descriptor is left, that throws an error which would
 * end the event loop.
 */
public final class SingleLineFormatter extends Formatter {
  @Override
  public String format(LogRecord record) {
    String thrown = record.getThrown() == null ? "" : ": " + record.getThrown();
    return record.getLevel() + ": " + formatMessage(record) + thrown + System.lineSeparator();
  }
}
