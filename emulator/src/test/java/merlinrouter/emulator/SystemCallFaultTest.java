package merlinrouter.emulator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import merlinrouter.emulator.FaultShim.Call;
import merlinrouter.emulator.MatchServer.Behavior;
import merlinrouter.emulator.MatchServer.Treatment;
import merlinrouter.emulator.RequestRecord.End;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** A real node process whose own system calls fail for a moment: no request may pay for it. */
@Timeout(180)
class SystemCallFaultTest {
    private static final Path ROOT = Path.of(System.getProperty("merlinrouter.root", ".."));
    private static final long LONG_WAIT = 2_400;
    /** Shorter than the pause that the network library makes after a failed accept (1 s). */
    private static final long SLOW_ANSWER = 900;

    @TempDir
    Path folder;
    private Fleet fleet;

    @BeforeEach
    void prepare() throws Exception {
        fleet = new Fleet(ROOT, folder);
    }

    @AfterEach
    void close() throws Exception {
        fleet.close();
    }

    private Fleet.Node startNode(MatchServer.Script... scripts) throws Exception {
        for (MatchServer.Script script : scripts) {
            fleet.addServer(script, 0);
        }
        fleet.startNodes(1);
        return fleet.nodes().get(0);
    }

    private static MatchServer.Script always(Behavior behavior, long delayMillis) {
        return id -> new Treatment(behavior, delayMillis);
    }

    private RequestRecord open(RequestClass requestClass, long waitMillis) {
        return fleet.ledger().open("n0", requestClass, waitMillis);
    }

    private RequestRecord exchange(Client client, RequestClass requestClass) throws Exception {
        RequestRecord request = open(requestClass, LONG_WAIT);
        client.exchange(request);
        return request;
    }

    private Client client(Fleet.Node node) {
        return new Client(node.process().port());
    }

    private static void assertServed(RequestRecord request) {
        assertEquals(End.ANSWERED, request.end, request.toString());
        assertEquals(200, request.status, request.toString());
        assertEquals(MatchServer.bodyFor(request.id), request.body, request.toString());
    }

    @Test
    void aClientBehindAFailedAcceptIsServedAtOnce() throws Exception {
        for (Errno error : List.of(Errno.ECONNABORTED, Errno.ENFILE, Errno.EMFILE, Errno.ENOBUFS)) {
            Fleet.Node node = fleet.nodes().isEmpty() ? startNode(id -> new Treatment(Behavior.ANSWER,
                fleet.ledger().isMarked(id) ? SLOW_ANSWER : 0)) : fleet.nodes().get(0);
            Client slow = client(node);
            assertServed(exchange(slow, RequestClass.LOOKUP));
            RequestRecord slowRequest = open(RequestClass.ORDER, LONG_WAIT);
            fleet.ledger().mark(slowRequest.id);
            Thread waiting = Threads.daemon("slow client", () -> slow.exchange(slowRequest));
            node.shim().failNext(Call.ACCEPT, 1, error.number());
            RequestRecord fresh = exchange(client(node), RequestClass.LOOKUP);
            waiting.join();
            assertServed(fresh);
            assertServed(slowRequest);
            assertTrue(fresh.endedAt - slowRequest.endedAt < 0, error + ": " + fresh + " behind " + slowRequest);
        }
    }

    @Test
    void interruptedWaitsAndShortReadsAndWritesLoseNothing() throws Exception {
        Fleet.Node node = startNode(always(Behavior.ANSWER, 0), always(Behavior.ANSWER, 0));
        node.shim().failEvery(Call.EPOLL_WAIT, 3, Errno.EINTR.number());
        node.shim().failEvery(Call.SHORT_READ, 2, 7);
        node.shim().failEvery(Call.SHORT_WRITE, 2, 7);
        Client client = client(node);
        for (int i = 0; i < 100; i++) {
            assertServed(exchange(client, RequestClass.values()[i % RequestClass.values().length]));
        }
    }

    @Test
    void anInterruptedReadIsNotTheEndOfAConnection() throws Exception {
        Fleet.Node node = startNode(always(Behavior.ANSWER, 0), always(Behavior.ANSWER, 0));
        node.shim().failEvery(Call.READ, 5, Errno.EINTR.number());
        Client client = client(node);
        for (int i = 0; i < 100; i++) {
            assertServed(exchange(client, RequestClass.values()[i % RequestClass.values().length]));
        }
    }

    @Test
    void wholeAnswersWithoutALengthArePassedOnAndResetOnesAreNot() throws Exception {
        Fleet.Node node = startNode(id -> new Treatment(fleet.ledger().isMarked(id) ? Behavior.RESET_WITHOUT_LENGTH
            : Behavior.ANSWER_WITHOUT_LENGTH, 0));
        Client client = client(node);
        for (int i = 0; i < 40; i++) {
            assertServed(exchange(client, RequestClass.values()[i % RequestClass.values().length]));
        }
        for (int i = 0; i < 40; i++) {
            RequestRecord request = open(RequestClass.TRANSFER, LONG_WAIT);
            fleet.ledger().mark(request.id);
            client.exchange(request);
            assertEquals(End.ANSWERED, request.end, request.toString());
            assertEquals(502, request.status, request.toString());
        }
    }
}
