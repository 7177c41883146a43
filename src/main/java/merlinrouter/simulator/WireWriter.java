package merlinrouter.simulator;

import java.io.IOException;
import java.io.Writer;
import java.math.BigDecimal;
import merlinrouter.gateway.GatewayActions;

/**
 * Collects the actions of all gateway instances as lines of the reply to a batch. Used by one
 * thread.
 */
final class WireWriter {
  private final Writer out;
  private final StringBuilder reply = new StringBuilder();

  WireWriter(Writer out) {
    this.out = out;
  }

  /** Returns actions that are added to the reply as lines of one gateway instance. */
  GatewayActions actionsOf(int instance) {
    return new InstanceActions(instance);
  }

  /** Completes the reply to a batch and writes it out. */
  void flush() throws IOException {
    reply.append(WireVocabulary.REPLY_END).append('\n');
    out.append(reply);
    out.flush();
    reply.setLength(0);
  }

  /** Adds a line to the reply: the action's keyword, the instance and the action's fields. */
  private void writeLine(String action, int instance, Object... fields) {
    reply.append(action).append(WireVocabulary.FIELD_SEPARATOR).append(instance);
    for (Object field : fields) {
      reply.append(WireVocabulary.FIELD_SEPARATOR).append(field);
    }
    reply.append('\n');
  }

  /** Formats a number without an exponent, and without a fraction if it is an integer. */
  private static String decimal(double value) {
    if (value == Math.rint(value)) {
      return Long.toString((long) value);
    }
    return BigDecimal.valueOf(value).toPlainString();
  }

  private final class InstanceActions implements GatewayActions {
    private final int instance;

    InstanceActions(int instance) {
      this.instance = instance;
    }

    @Override
    public void startAttempt(String requestId, String endpointId, long timeoutNanos) {
      writeLine(WireVocabulary.START_ATTEMPT, instance, requestId, endpointId, timeoutNanos);
    }

    @Override
    public void reject(String requestId, long retryAfterNanos) {
      writeLine(WireVocabulary.REJECT, instance, requestId, retryAfterNanos);
    }

    @Override
    public void fail(String requestId) {
      writeLine(WireVocabulary.FAIL, instance, requestId);
    }

    @Override
    public void startHealthCheck(String endpointId) {
      writeLine(WireVocabulary.START_HEALTH_CHECK, instance, endpointId);
    }

    @Override
    public void addToCounter(long counterKey, double amount, long timeToLiveNanos) {
      writeLine(
          WireVocabulary.ADD_TO_COUNTER, instance, timeToLiveNanos, decimal(amount), counterKey);
    }

    @Override
    public void scheduleTimer(long token, long delayNanos) {
      writeLine(WireVocabulary.SCHEDULE_TIMER, instance, token, delayNanos);
    }

    @Override
    public void subscribeToEndpoints() {
      writeLine(WireVocabulary.SUBSCRIBE, instance, WireVocabulary.SUBSCRIBE_ON);
    }

    @Override
    public void log(String text) {
      writeLine(WireVocabulary.LOG, instance, text);
    }
  }
}
