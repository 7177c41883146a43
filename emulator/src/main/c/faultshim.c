/*
 * System-call fault injection for a process under test, loaded with LD_PRELOAD.
 *
 * FAULT_SHIM_CONTROL names a file of 64-bit slots that the emulator maps and writes while the process runs.
 * Slot 0 is added to the wall clock, in nanoseconds. Behind it each fault has four slots:
 *   next   how many of the following calls fail, counted down
 *   every  if above 0, each call whose number is a multiple of this fails too
 *   error  the errno to fail with (for short reads and writes: the most bytes that one call moves)
 *   hits   how many calls have failed so far
 * The monotonic clock is never touched.
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

enum fault { ACCEPT, SOCKET, CONNECT, EPOLL_WAIT, SHORT_READ, SHORT_WRITE, READ, WRITE, BIND, OPEN, FAULT_COUNT };

struct slot {
  int64_t next;
  int64_t every;
  int64_t error;
  int64_t hits;
};

struct control {
  int64_t wall_offset_ns;
  struct slot slots[FAULT_COUNT];
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

/* Whether this call fails; takes one from the count of calls that are still to fail. */
static int strikes(enum fault fault) {
  if (control == NULL) {
    return 0;
  }
  struct slot *slot = &control->slots[fault];
  int64_t number = __atomic_add_fetch(&calls[fault], 1, __ATOMIC_RELAXED);
  int64_t every = __atomic_load_n(&slot->every, __ATOMIC_RELAXED);
  int strikes = every > 0 && number % every == 0;
  if (!strikes && __atomic_load_n(&slot->next, __ATOMIC_RELAXED) > 0) {
    strikes = __atomic_fetch_sub(&slot->next, 1, __ATOMIC_RELAXED) > 0;
  }
  if (strikes) {
    __atomic_add_fetch(&slot->hits, 1, __ATOMIC_RELAXED);
  }
  return strikes;
}

static int64_t parameter(enum fault fault) {
  return __atomic_load_n(&control->slots[fault].error, __ATOMIC_RELAXED);
}

static int fails(enum fault fault) {
  if (!strikes(fault)) {
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
  return is_tcp(fd) && fails(ACCEPT) ? -1 : REAL(accept)(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  return is_tcp(fd) && fails(ACCEPT) ? -1 : REAL(accept4)(fd, address, length, flags);
}

int socket(int domain, int type, int protocol) {
  return (domain == AF_INET || domain == AF_INET6) && fails(SOCKET) ? -1 : REAL(socket)(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  return is_tcp(fd) && fails(CONNECT) ? -1 : REAL(connect)(fd, address, length);
}

int bind(int fd, const struct sockaddr *address, socklen_t length) {
  return is_tcp(fd) && fails(BIND) ? -1 : REAL(bind)(fd, address, length);
}

/* Only a configuration's opening fails: the platform's own files are not what is under test. */
static int is_configuration(const char *path) {
  size_t length = strlen(path);
  return length > 5 && strcmp(path + length - 5, ".json") == 0;
}

static mode_t mode_of(int flags, va_list rest) {
  return flags & (O_CREAT | O_TMPFILE) ? (mode_t) va_arg(rest, int) : 0;
}

int open(const char *path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  mode_t mode = mode_of(flags, rest);
  va_end(rest);
  return is_configuration(path) && fails(OPEN) ? -1 : REAL(open)(path, flags, mode);
}

int open64(const char *path, int flags, ...) {
  va_list rest;
  va_start(rest, flags);
  mode_t mode = mode_of(flags, rest);
  va_end(rest);
  return is_configuration(path) && fails(OPEN) ? -1 : REAL(open64)(path, flags, mode);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout) {
  return fails(EPOLL_WAIT) ? -1 : REAL(epoll_wait)(fd, events, most, timeout);
}

static size_t bounded(enum fault fault, size_t length) {
  if (length < 2 || !strikes(fault)) {
    return length;
  }
  size_t most = (size_t) parameter(fault);
  return most > 0 && most < length ? most : length;
}

ssize_t read(int fd, void *bytes, size_t length) {
  if (!is_tcp(fd)) {
    return REAL(read)(fd, bytes, length);
  }
  return fails(READ) ? -1 : REAL(read)(fd, bytes, bounded(SHORT_READ, length));
}

ssize_t write(int fd, const void *bytes, size_t length) {
  if (!is_tcp(fd)) {
    return REAL(write)(fd, bytes, length);
  }
  return fails(WRITE) ? -1 : REAL(write)(fd, bytes, bounded(SHORT_WRITE, length));
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  if (!is_tcp(fd) || count < 1) {
    return REAL(writev)(fd, parts, count);
  }
  if (fails(WRITE)) {
    return -1;
  }
  size_t most = bounded(SHORT_WRITE, parts[0].iov_len);
  return most < parts[0].iov_len ? REAL(write)(fd, parts[0].iov_base, most) : REAL(writev)(fd, parts, count);
}

static int64_t wall_offset(void) {
  return control == NULL ? 0 : __atomic_load_n(&control->wall_offset_ns, __ATOMIC_RELAXED);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
  int result = REAL(clock_gettime)(clock, now);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    int64_t moved = now->tv_sec * 1000000000LL + now->tv_nsec + wall_offset();
    now->tv_sec = moved / 1000000000LL;
    now->tv_nsec = moved % 1000000000LL;
  }
  return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
  int result = REAL(gettimeofday)(now, zone);
  if (result == 0) {
    int64_t moved = now->tv_sec * 1000000LL + now->tv_usec + wall_offset() / 1000;
    now->tv_sec = moved / 1000000LL;
    now->tv_usec = moved % 1000000LL;
  }
  return result;
}
