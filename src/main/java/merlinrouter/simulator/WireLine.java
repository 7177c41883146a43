package merlinrouter.simulator;

import java.util.ArrayList;
import java.util.List;

/**
 * One line of input, split into fields. Field 0 is the line's word. The accessors throw {@link
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

  /** The first field, which names what the line says; empty for a blank line. */
  String word() {
    return fields.length == 0 ? "" : fields[0];
  }

  /** All fields, the line's word included; not a copy. */
  String[] fields() {
    return fields;
  }

  /** A field that must not be empty. */
  String string(int position) throws MalformedInputException {
    if (position >= fields.length || fields[position].isEmpty()) {
      throw malformed("value " + position + " is missing");
    }
    return fields[position];
  }

  /** A whole number within the range of an int; 0 for an absent value. */
  int intValue(int position) throws MalformedInputException {
    long value = longValue(position);
    if (value != (int) value) {
      throw malformed("value " + position + " is out of range");
    }
    return (int) value;
  }

  /** A whole number; 0 for an absent value. */
  long longValue(int position) throws MalformedInputException {
    try {
      return isAbsent(position) ? 0 : Long.parseLong(fields[position]);
    } catch (NumberFormatException e) {
      throw malformed("value " + position + " is not a whole number");
    }
  }

  /** A finite number; 0 for an absent value. */
  double doubleValue(int position) throws MalformedInputException {
    try {
      double value = isAbsent(position) ? 0 : Double.parseDouble(fields[position]);
      if (!Double.isFinite(value)) {
        throw malformed("value " + position + " is not finite");
      }
      return value;
    } catch (NumberFormatException e) {
      throw malformed("value " + position + " is not a number");
    }
  }

  /** A list of numbers; empty for an absent value or where the line ends before the field. */
  List<Double> doubleValues(int position) throws MalformedInputException {
    if (position >= fields.length || isAbsent(position)) {
      return List.of();
    }
    List<Double> values = new ArrayList<>();
    for (String value : fields[position].split(WireVocabulary.LIST_SEPARATOR)) {
      try {
        values.add(Double.parseDouble(value));
      } catch (NumberFormatException e) {
        throw malformed("value " + position + " is not a row of numbers");
      }
    }
    return values;
  }

  /** An exception that names this line. */
  MalformedInputException malformed(String reason) {
    return new MalformedInputException(number, text, reason);
  }

  private boolean isAbsent(int position) throws MalformedInputException {
    return string(position).equals(WireVocabulary.ABSENT);
  }
}
