package merlinrouter.simulator;

import java.util.ArrayList;
import java.util.List;

/**
 * One line of input, split into fields. Field 0 is the keyword. The accessors throw {@link
 * MalformedInputException} for a field that is missing or of another type.
 */
final class WireLine {
  private final long number;
  private final String text;
  private final String[] fields;

  /**
   * Splits a line.
   *
   * @param number the line's number in the input, from 1
   * @param text the line without its end
   */
  WireLine(long number, String text) {
    this.number = number;
    this.text = text;
    fields = text.split(WireVocabulary.FIELD_SEPARATOR);
  }

  /** Returns the first field, which names the type of the line; empty for a blank line. */
  String keyword() {
    return fields.length == 0 ? "" : fields[0];
  }

  /** Returns all fields, including the keyword; the array is not a copy. */
  String[] fields() {
    return fields;
  }

  /** Returns a field that must not be empty. */
  String string(int position) throws MalformedInputException {
    if (position >= fields.length || fields[position].isEmpty()) {
      throw malformed("field " + position + " is missing");
    }
    return fields[position];
  }

  /** Returns a field as an integer in the range of an int; 0 for an absent value. */
  int intValue(int position) throws MalformedInputException {
    long value = longValue(position);
    if (value != (int) value) {
      throw malformed("field " + position + " is out of the range of 32-bit integers");
    }
    return (int) value;
  }

  /** Returns a field as an integer; 0 for an absent value. */
  long longValue(int position) throws MalformedInputException {
    try {
      return isAbsent(position) ? 0 : Long.parseLong(fields[position]);
    } catch (NumberFormatException e) {
      throw malformed("field " + position + " is not a 64-bit integer");
    }
  }

  /** Returns a field as a finite number; 0 for an absent value. */
  double doubleValue(int position) throws MalformedInputException {
    try {
      double value = isAbsent(position) ? 0 : Double.parseDouble(fields[position]);
      if (!Double.isFinite(value)) {
        throw malformed("field " + position + " is not a finite number");
      }
      return value;
    } catch (NumberFormatException e) {
      throw malformed("field " + position + " is not a number");
    }
  }

  /** Returns a field as a list of numbers; empty if the value is absent or the field missing. */
  List<Double> doubleValues(int position) throws MalformedInputException {
    if (position >= fields.length || isAbsent(position)) {
      return List.of();
    }
    List<Double> values = new ArrayList<>();
    for (String value : fields[position].split(WireVocabulary.LIST_SEPARATOR)) {
      try {
        values.add(Double.parseDouble(value));
      } catch (NumberFormatException e) {
        throw malformed("field " + position + " is not a comma-separated list of numbers");
      }
    }
    return values;
  }

  /** Returns an exception that names this line. */
  MalformedInputException malformed(String reason) {
    return new MalformedInputException(number, text, reason);
  }

  private boolean isAbsent(int position) throws MalformedInputException {
    return string(position).equals(WireVocabulary.ABSENT);
  }
}
