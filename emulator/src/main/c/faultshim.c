/*
 * Injects faults into the system calls and the wall clock of the process that loads this library with LD_PRELOAD.
 *
 * FAULT_SHIM_CONTROL names a control file, which the emulator maps and writes while the process runs. It holds a
 * struct control in native byte order; merlinrouter.emulator.fleet.FaultShim uses the same layout. Without the
 * variable or the file, no fault is injected. The monotonic clock is never changed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define NANOS_PER_SECOND 1000000000LL
#define MICROS_PER_SECOND 1000000LL
#define NANOS_PER_MICRO 1000LL

enum fault { ACCEPT, SOCKET, CONNECT, EPOLL_WAIT, SHORT_READ, SHORT_WRITE, READ, WRITE, BIND, OPEN, FAULT_COUNT };

struct fault_slot {
  int64_t remaining; /* number of following calls that fail; decremented with each of them */
  int64_t interval;  /* if above 0, each call whose number is a multiple of it also fails */
  int64_t parameter; /* errno of failing calls; for SHORT_READ and SHORT_WRITE, the maximum number of bytes per call */
  int64_t injected;  /* how many times the fault has been injected */
};

struct control {
  int64_t wall_clock_offset_ns; /* added to each reading of the wall clock */
  struct fault_slot slots[FAULT_COUNT];
};

static struct control *control;
static int64_t calls[FAULT_COUNT];

__attribute__((constructor)) static void map_control(void) {
  const char *path = getenv("FAULT_SHIM_CONTROL");
  if (path == NULL) {
    return;
  }
  int fd = open(path, O_RDWR | O_CLOEXEC);
  if (fd < 0) {
    return;
  }
  void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  control = mapped == MAP_FAILED ? NULL : mapped;
  close(fd);
}

#define REAL(name) ((__typeof__(&name)) real_symbol(#name))

static void *real_symbol(const char *name) {
  return dlsym(RTLD_NEXT, name);
}

/* Counts a call and returns whether the fault is injected into it; counts the injection too. */
static int should_inject(enum fault fault) {
  if (control == NULL) {
    return 0;
  }
  struct fault_slot *slot = &control->slots[fault];
  int64_t call_number = __atomic_add_fetch(&calls[fault], 1, __ATOMIC_RELAXED);
  int64_t interval = __atomic_load_n(&slot->interval, __ATOMIC_RELAXED);
  int injected = interval > 0 && call_number % interval == 0;
  if (!injected && __atomic_load_n(&slot->remaining, __ATOMIC_RELAXED) > 0) {
    /* Another thread may have used up the remaining failures since the check. */
    injected = __atomic_fetch_sub(&slot->remaining, 1, __ATOMIC_RELAXED) > 0;
  }
  if (injected) {
    __atomic_add_fetch(&slot->injected, 1, __ATOMIC_RELAXED);
  }
  return injected;
}

static int64_t parameter(enum fault fault) {
  return __atomic_load_n(&control->slots[fault].parameter, __ATOMIC_RELAXED);
}

/* Counts a call and returns whether it fails; if so, sets errno. */
static int call_fails(enum fault fault) {
  if (!should_inject(fault)) {
    return 0;
  }
  errno = (int) parameter(fault);
  return 1;
}

static int is_tcp(int fd) {
  int domain = 0;
  socklen_t length = sizeof(domain);
  return getsockopt(fd, SOL_SOCKET, SO_DOMAIN, &domain, &length) == 0 && (domain == AF_INET || domain == AF_INET6);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  return is_tcp(fd) && call_fails(ACCEPT) ? -1 : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  return is_tcp(fd) && call_fails(ACCEPT) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
  return (domain == AF_INET || domain == AF_INET6) && call_fails(SOCKET) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  return is_tcp(fd) && call_fails(CONNECT) ? -1 : REAL(connect)(fd, address, length);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
  return is_tcp(fd) && call_fails(BIND) ? -1 : REAL(bind)(fd, address, length);
}

/* Opening fails only for configuration files: the JVM's own files are not under test. */
static int is_configuration_file(const char *path) {
  static const char suffix[] = ".json";
  size_t suffix_length = sizeof(suffix) - 1;
  size_t length = strlen(path);
  return length > suffix_length && strcmp(path + length - suffix_length, suffix) == 0;
}

/* Returns the third argument of open, which callers pass only if the file may be created. */
static mode_t open_mode(int flags, va_list arguments) {
  return flags & (O_CREAT | O_TMPFILE) ? (mode_t) va_arg(arguments, int) : 0;
}

int open(const char *path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = open_mode(flags, arguments);
  va_end(arguments);
  return is_configuration_file(path) && call_fails(OPEN) ? -1 : REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
  va_list arguments;
  va_start(arguments, flags);
  mode_t mode = open_mode(flags, arguments);
  va_end(arguments);
  return is_configuration_file(path) && call_fails(OPEN) ? -1 : REAL(open64)(path, flags, mode);
}

int epoll_wait(int fd, struct epoll_event *events, int max_events, int timeout) {
  return call_fails(EPOLL_WAIT) ? -1 : REAL(epoll_wait)(fd, events, max_events, timeout);
}

/*
 * Returns how many of length bytes this call transfers: all, or fewer if a short call is injected. It never shortens a
 * call to 0 bytes, which would mean the end of a stream.
 */
static size_t limited_length(enum fault fault, size_t length) {
  if (length < 2 || !should_inject(fault)) {
    return length;
  }
  size_t max_bytes = (size_t) parameter(fault);
  return max_bytes > 0 && max_bytes < length ? max_bytes : length;
}

ssize_t read(int fd, void *bytes, size_t length) {
  if (!is_tcp(fd)) {
    return REAL(read)(fd, bytes, length);
  }
  return call_fails(READ) ? -1 : REAL(read)(fd, bytes, limited_length(SHORT_READ, length));
}

ssize_t write(int fd, const void *bytes, size_t length) {
  if (!is_tcp(fd)) {
    return REAL(write)(fd, bytes, length);
  }
  return call_fails(WRITE) ? -1 : REAL(write)(fd, bytes, limited_length(SHORT_WRITE, length));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  if (!is_tcp(fd) || count < 1) {
    return REAL(writev)(fd, parts, count);
  }
  if (call_fails(WRITE)) {
    return -1;
  }
  size_t length = parts[0].iov_len;
  size_t allowed = limited_length(SHORT_WRITE, length);
  return allowed < length ? REAL(write)(fd, parts[0].iov_base, allowed) : REAL(writev)(fd, parts, count);
}

static int64_t wall_clock_offset_ns(void) {
  return control == NULL ? 0 : __atomic_load_n(&control->wall_clock_offset_ns, __ATOMIC_RELAXED);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
  int result = REAL(clock_gettime)(clock, now);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    int64_t nanos = now->tv_sec * NANOS_PER_SECOND + now->tv_nsec + wall_clock_offset_ns();
    now->tv_sec = nanos / NANOS_PER_SECOND;
    now->tv_nsec = nanos % NANOS_PER_SECOND;
  }
  return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
  int result = REAL(gettimeofday)(now, zone);
  if (result == 0) {
    int64_t micros = now->tv_sec * MICROS_PER_SECOND + now->tv_usec + wall_clock_offset_ns() / NANOS_PER_MICRO;
    now->tv_sec = micros / MICROS_PER_SECOND;
    now->tv_usec = micros % MICROS_PER_SECOND;
  }
  return result;
}
