package merlinrouter.emulator;

/** Error numbers of Linux that the fault library is told. */
enum Errno {
  EINTR(4),
  EIO(5),
  EAGAIN(11),
  ENFILE(23),
  EMFILE(24),
  EPROTO(71),
  EADDRINUSE(98),
  EADDRNOTAVAIL(99),
  ENETUNREACH(101),
  ECONNABORTED(103),
  ECONNRESET(104),
  ENOBUFS(105),
  ETIMEDOUT(110),
  EHOSTUNREACH(113);

  private final int number;

  Errno(int number) {
    this.number = number;
  }

  /** The number as the system calls return it. */
  int number() {
    return number;
  }
}
