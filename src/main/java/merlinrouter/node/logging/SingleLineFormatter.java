package merlinrouter.node.logging;

import java.util.logging.Formatter;
import java.util.logging.LogRecord;

/**
 * A library's warning as one line. The platform's own formatter tells the time, and reads the time
 * zones' file for its first line: where that line is that no descriptor is left, it failed with an
 * error that ended the event loop.
 */
public final class SingleLineFormatter extends Formatter {
  @Override
  public String format(LogRecord record) {
    String thrown = record.getThrown() == null ? "" : ": " + record.getThrown();
    return record.getLevel() + ": " + formatMessage(record) + thrown + System.lineSeparator();
  }
}
