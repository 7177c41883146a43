package merlinrouter.emulator.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.emulator.fleet.NodeProcess;
import merlinrouter.emulator.fleet.NodeProcess.Signal;

/**
 * Signals that a process gets one soon after another.
 *
 * @param steps the signals with the pauses before them
 */
record SignalSeries(List<Step> steps) {
  private static final int MAX_REPEATED_TERMINATIONS = 3;
  private static final long MAX_GAP_MILLIS = 100;

  /** A node that is paused for no longer than this must keep all rules. */
  private static final long MAX_PAUSE_MILLIS = 150;

  /**
   * One signal of a series.
   *
   * @param delayMillis time since the signal before it
   * @param signal the signal
   */
  record Step(long delayMillis, Signal signal) {}

  /** The one signal of a planned restart. */
  static SignalSeries termination() {
    return new SignalSeries(List.of(new Step(0, Signal.TERM)));
  }

  /**
   * Draws a series that begins a graceful shutdown: two or more SIGTERM, perhaps a SIGHUP right
   * before or after the first one, perhaps a pause of the process.
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

  /** The series without SIGHUP, which a process may not be sent while it is starting. */
  SignalSeries withoutReloads() {
    return new SignalSeries(steps.stream().filter(step -> step.signal() != Signal.HUP).toList());
  }

  /** Sends the signals; returns behind the last one. */
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
