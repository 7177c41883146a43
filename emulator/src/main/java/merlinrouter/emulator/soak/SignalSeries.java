package merlinrouter.emulator.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.emulator.fleet.NodeProcess;
import merlinrouter.emulator.fleet.NodeProcess.Signal;

/**
 * Signals that are sent to a process in quick succession.
 *
 * @param steps the signals with the delays before them
 */
record SignalSeries(List<Step> steps) {
  private static final int MAX_REPEATED_TERMINATIONS = 3;
  private static final long MAX_GAP_MILLIS = 100;

  /** A node that is paused for no longer than this must still satisfy all invariants. */
  private static final long MAX_PAUSE_MILLIS = 150;

  /**
   * One signal of a series.
   *
   * @param delayMillis time since the previous signal
   * @param signal the signal
   */
  record Step(long delayMillis, Signal signal) {}

  /** Returns the series of a planned restart: one SIGTERM. */
  static SignalSeries termination() {
    return new SignalSeries(List.of(new Step(0, Signal.TERM)));
  }

  /**
   * Draws a series that starts a graceful shutdown: a SIGTERM with an optional SIGHUP immediately
   * before it and an optional one immediately after it, an optional pause of the process, and one
   * or more further SIGTERMs.
   */
  static SignalSeries drawTermination(SplittableRandom random) {
    List<Step> steps = new ArrayList<>();
    if (random.nextBoolean()) {
      steps.add(new Step(0, Signal.HUP));
    }
    steps.add(new Step(0, Signal.TERM));
    if (random.nextBoolean()) {
      steps.add(new Step(0, Signal.HUP));
    }
    if (random.nextBoolean()) {
      steps.add(new Step(random.nextLong(MAX_GAP_MILLIS), Signal.STOP));
      steps.add(new Step(random.nextLong(MAX_PAUSE_MILLIS), Signal.CONT));
    }
    int repetitions = 1 + random.nextInt(MAX_REPEATED_TERMINATIONS);
    for (int i = 0; i < repetitions; i++) {
      steps.add(new Step(random.nextLong(MAX_GAP_MILLIS), Signal.TERM));
    }
    return new SignalSeries(steps);
  }

  /** Returns the series without SIGHUP, which must not be sent to a process while it starts. */
  SignalSeries withoutReloads() {
    return new SignalSeries(steps.stream().filter(step -> step.signal() != Signal.HUP).toList());
  }

  /** Sends the signals and returns after the last one. */
  void send(NodeProcess process) throws IOException, InterruptedException {
    for (Step step : steps) {
      Thread.sleep(step.delayMillis());
      process.signal(step.signal());
    }
  }

  @Override
  public String toString() {
    List<String> texts = new ArrayList<>();
    for (Step step : steps) {
      texts.add("+" + step.delayMillis() + " ms " + step.signal());
    }
    return String.join(", ", texts);
  }
}
