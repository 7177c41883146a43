package merlinrouter.emulator.fleet;

/** Linux error numbers that can be injected into system calls. */
public enum Errno {
  /** A signal interrupted the call. */
  EINTR(4),
  /** Input or output failed. */
  EIO(5),
  /** The system has no file descriptor left. */
  ENFILE(23),
  /** The process has no file descriptor left. */
  EMFILE(24),
  /** The address is in use. */
  EADDRINUSE(98),
  /** No local port is left, or the address is not local. */
  EADDRNOTAVAIL(99),
  /** The network is unreachable. */
  ENETUNREACH(101),
  /** The peer aborted the connection before it was accepted. */
  ECONNABORTED(103),
  /** The system has no buffer left. */
  ENOBUFS(105),
  /** The peer did not answer in time. */
  ETIMEDOUT(110),
  /** The host is unreachable. */
  EHOSTUNREACH(113);

  private final int number;

  Errno(int number) {
    this.number = number;
  }

  /** Returns the number as Linux defines it. */
  int number() {
    return number;
  }
}
