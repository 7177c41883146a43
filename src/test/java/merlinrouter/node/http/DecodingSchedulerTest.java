package merlinrouter.node.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests how connections share the turns of an event loop, with turns that the test makes. */
class DecodingSchedulerTest {
  private static final int CONNECTION_STEPS = DecodingScheduler.MAX_STEPS_PER_CONNECTION;
  private static final int TURN_STEPS = DecodingScheduler.MAX_STEPS_PER_TURN;

  private final ArrayDeque<Runnable> tasks = new ArrayDeque<>();
  private final List<String> continued = new ArrayList<>();
  private long turn = 1;
  private final DecodingScheduler scheduler = new DecodingScheduler(() -> turn, tasks::add);

  private DecodingShare newShare(String name) {
    return scheduler.newShare(() -> continued.add(name));
  }

  private void runNextTurn() {
    turn++;
    int due = tasks.size();
    for (int i = 0; i < due; i++) {
      tasks.remove().run();
    }
  }

  /** Takes as many steps as the share allows, one at a time, and returns their number. */
  private static int takeSteps(DecodingShare share) {
    int steps = 0;
    while (share.mayDecode()) {
      share.addSteps(1);
      steps++;
    }
    return steps;
  }

  @Test
  void connectionMayTakeItsStepsOnceInATurn() {
    DecodingShare share = newShare("a");
    assertEquals(CONNECTION_STEPS, takeSteps(share));
    assertTrue(share.isExhausted());
    assertEquals(0, takeSteps(share));
    turn++;
    assertEquals(CONNECTION_STEPS, takeSteps(share));
  }

  @Test
  void allConnectionsTogetherAreLimitedInATurn() {
    int steps = 0;
    for (int i = 0; i < 2 * TURN_STEPS / CONNECTION_STEPS; i++) {
      steps += takeSteps(newShare("c" + i));
    }
    assertEquals(TURN_STEPS, steps);
    assertFalse(newShare("last").mayDecode());
  }

  /** Otherwise bytes that are read meanwhile would be decoded before others that wait. */
  @Test
  void connectionThatWaitsTakesNoStepsBeforeItsTurn() {
    DecodingShare share = newShare("a");
    share.awaitTurn();
    turn++;
    assertFalse(share.mayDecode());
    runNextTurn();
    assertEquals(List.of("a"), continued);
    assertTrue(share.mayDecode());
  }

  @Test
  void waitingConnectionsContinueInOrderWithinTheLimitOfEachTurn() {
    List<DecodingShare> shares = new ArrayList<>();
    for (String name : List.of("a", "b", "c")) {
      List<DecodingShare> self = new ArrayList<>();
      DecodingShare share =
          scheduler.newShare(
              () -> {
                continued.add(name);
                self.get(0).addSteps(TURN_STEPS / 2);
              });
      self.add(share);
      shares.add(share);
    }
    shares.forEach(DecodingShare::awaitTurn);
    runNextTurn();
    assertEquals(List.of("a", "b"), continued);
    shares.get(0).awaitTurn();
    runNextTurn();
    assertEquals(List.of("a", "b", "c", "a"), continued);
    assertTrue(tasks.isEmpty());
  }

  @Test
  void connectionWaitsOnceHoweverOftenItAsks() {
    DecodingShare share = newShare("a");
    share.awaitTurn();
    share.awaitTurn();
    runNextTurn();
    runNextTurn();
    assertEquals(List.of("a"), continued);
  }

  /** Otherwise the fault of one connection would stop all others that wait. */
  @Test
  void connectionsContinueAfterOneThatFails() {
    DecodingShare failing =
        scheduler.newShare(
            () -> {
              throw new IllegalStateException("a fault of one connection");
            });
    failing.awaitTurn();
    newShare("b").awaitTurn();
    assertThrows(IllegalStateException.class, this::runNextTurn);
    runNextTurn();
    assertEquals(List.of("b"), continued);
  }
}
