package merlinrouter.emulator;

/** The emulator's command line. */
public final class Main {
    private Main() {
    }

    /** Runs a command. */
    public static void main(String[] args) {
        System.exit(2);
    }
}
