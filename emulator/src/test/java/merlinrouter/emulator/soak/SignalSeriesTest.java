package merlinrouter.emulator.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import merlinrouter.emulator.fleet.NodeProcess.Signal;
import org.junit.jupiter.api.Test;

/** Tests which signals a drawn series contains. */
class SignalSeriesTest {
  private static final int SEEDS = 200;
  private static final long MAX_PAUSE_MILLIS = 150;

  private static List<Signal> signals(SignalSeries series) {
    return series.steps().stream().map(SignalSeries.Step::signal).toList();
  }

  @Test
  void eachSeriesRepeatsTheTerminationAndPausesForAtMost150Millis() {
    for (int seed = 0; seed < SEEDS; seed++) {
      SignalSeries series = SignalSeries.drawTermination(new SplittableRandom(seed));
      List<Signal> signals = signals(series);
      assertTrue(signals.stream().filter(Signal.TERM::equals).count() >= 2, series.toString());
      int pause = signals.indexOf(Signal.STOP);
      if (pause >= 0) {
        SignalSeries.Step end = series.steps().get(pause + 1);
        assertEquals(Signal.CONT, end.signal());
        assertTrue(end.delayMillis() <= MAX_PAUSE_MILLIS, series.toString());
      }
    }
  }

  @Test
  void aSeedDrawsTheSameSeriesEachTime() {
    assertEquals(
        SignalSeries.drawTermination(new SplittableRandom(5)),
        SignalSeries.drawTermination(new SplittableRandom(5)));
  }

  @Test
  void withoutReloadsOnlyTheOtherSignalsRemain() {
    SignalSeries series =
        new SignalSeries(
            List.of(
                new SignalSeries.Step(0, Signal.HUP),
                new SignalSeries.Step(0, Signal.TERM),
                new SignalSeries.Step(0, Signal.HUP)));
    assertEquals(List.of(Signal.TERM), signals(series.withoutReloads()));
    assertFalse(signals(series).equals(List.of(Signal.TERM)));
  }
}
