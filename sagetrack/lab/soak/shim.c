/* Makes system calls of one process fail with errors that Linux documents for them, and steps its wall clock.
 *
 * The library is loaded into a gateway of the soak with LD_PRELOAD. The control file named by SOAK_CONTROL holds
 * the current failure rates; sagetrack/lab/soak/shim.py writes it, and both sides map it into memory. Rates are
 * per 1,000 calls; at 0 a call never fails. Opening fails only for files in SOAK_FOLDER, so that the program
 * itself can be loaded.
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
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* The layout of the control file; LAYOUT in shim.py must match it. */
struct control {
    int64_t wall_step_us;
    uint32_t accept_rate, connect_rate, socket_rate, read_rate, write_rate, file_rate, watch_rate;
    uint32_t accept_error; /* errno of failed accept calls; 0 for a random one */
    uint32_t failed_calls; /* number of calls that this library has made to fail */
    uint32_t seed;
};

static struct control *mapped_control;
static struct control no_faults; /* used if there is no control file */
static __thread uint32_t random_state;

/* Returns the current faults. The first call maps the control file. */
static struct control *faults(void) {
    if (!mapped_control) {
        const char *path = getenv("SOAK_CONTROL");
        struct control *found = &no_faults;
        int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
        if (file >= 0) {
            void *memory = mmap(NULL, sizeof *found, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
            if (memory != MAP_FAILED)
                found = memory;
            close(file);
        }
        mapped_control = found;
    }
    return mapped_control;
}

/* Returns a random number (xorshift32). Each thread has its own state, seeded from the seed and the process ID. */
static uint32_t draw(void) {
    if (!random_state)
        random_state = faults()->seed * 2654435761u + (uint32_t)getpid() + 1u;
    random_state ^= random_state << 13;
    random_state ^= random_state >> 17;
    random_state ^= random_state << 5;
    return random_state;
}

/* Returns 1 if this call must fail, and counts it; otherwise 0. */
static int fails(uint32_t rate) {
    if (!rate || draw() % 1000 >= rate)
        return 0;
    __atomic_add_fetch(&faults()->failed_calls, 1, __ATOMIC_RELAXED);
    return 1;
}

/* Sets errno to a random one of the errors and returns -1, like a failed system call. */
static int fail_with_any(const int *errors, size_t count) {
    errno = errors[draw() % count];
    return -1;
}

/* Declares `real`, a pointer to the C library function that the function of this library replaces. */
#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)
/* Returns from the calling function with a random one of the errors. */
#define FAIL_WITH(...) \
    do { \
        static const int errors[] = {__VA_ARGS__}; \
        return fail_with_any(errors, sizeof errors / sizeof *errors); \
    } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (fails(faults()->accept_rate)) {
        if (faults()->accept_error) {
            errno = (int)faults()->accept_error;
            return -1;
        }
        FAIL_WITH(ECONNABORTED, ENFILE, ENOBUFS, EINTR, EMFILE, EPROTO, ENOMEM);
    }
    return real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) { return accept4(fd, address, length, 0); }

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fails(faults()->connect_rate))
        FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ECONNREFUSED);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && fails(faults()->socket_rate))
        FAIL_WITH(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

/* Returns 1 if a descriptor is a stream socket, without changing errno. */
static int is_stream_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    int saved_errno = errno;
    int is_stream = !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) && type == SOCK_STREAM;
    errno = saved_errno;
    return is_stream;
}

/* Maximum number of bytes in a read or write that is shortened. */
enum { SHORT_SIZE = 7 };

static size_t shortened(size_t size) { return size > SHORT_SIZE ? SHORT_SIZE : size; }

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    if (faults()->read_rate && is_stream_socket(fd) && fails(faults()->read_rate)) {
        if (draw() & 1)
            FAIL_WITH(EINTR);
        size = shortened(size);
    }
    return real(fd, data, size);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    if (fails(faults()->read_rate)) {
        if (draw() & 1)
            FAIL_WITH(EINTR);
        size = shortened(size);
    }
    return real(fd, data, size, flags);
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    if (fd == STDERR_FILENO) {
        if (fails(faults()->file_rate))
            FAIL_WITH(ENOSPC, EIO);
    } else if (faults()->write_rate && is_stream_socket(fd) && fails(faults()->write_rate)) {
        if (draw() & 1)
            FAIL_WITH(EAGAIN);
        size = shortened(size);
    } else if (faults()->file_rate && !is_stream_socket(fd) && size > 8 && fails(faults()->file_rate)) {
        if (draw() & 1)
            FAIL_WITH(ENOSPC, EIO);
        size /= 2;
    }
    return real(fd, data, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (faults()->write_rate && fails(faults()->write_rate)) {
        if (draw() & 1)
            FAIL_WITH(EAGAIN);
        count = 1;
    }
    return real(fd, parts, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (fails(faults()->write_rate))
        FAIL_WITH(EAGAIN);
    return real(fd, message, flags);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list arguments;
    va_start(arguments, flags);
    int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(arguments, int) : 0;
    va_end(arguments);
    const char *folder = getenv("SOAK_FOLDER");
    if (folder && !strncmp(path, folder, strlen(folder)) && fails(faults()->file_rate))
        FAIL_WITH(EMFILE, ENFILE, EIO);
    return real(path, flags, mode);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (fails(faults()->file_rate))
        FAIL_WITH(ENOSPC, EIO);
    return real(from, to);
}

int fsync(int fd) {
    REAL(fsync);
    if (fails(faults()->file_rate))
        FAIL_WITH(EIO, ENOSPC);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    if (fails(faults()->file_rate))
        FAIL_WITH(EIO, ENOSPC);
    return real(fd);
}

int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event) {
    REAL(epoll_ctl);
    /* Only registrations for EPOLLRDHUP alone fail, because an event loop cannot work without its own ones. */
    if (op == EPOLL_CTL_ADD && event && event->events == EPOLLRDHUP && fails(faults()->watch_rate))
        FAIL_WITH(ENOSPC, ENOMEM);
    return real(epfd, op, fd, event);
}

#define NS_PER_S INT64_C(1000000000)

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    int64_t step_us = faults()->wall_step_us;
    if (!result && step_us && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t stepped_ns = (int64_t)time->tv_sec * NS_PER_S + time->tv_nsec + step_us * 1000;
        time->tv_sec = stepped_ns / NS_PER_S;
        time->tv_nsec = stepped_ns % NS_PER_S;
    }
    return result;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    struct timespec precise;
    (void)zone;
    clock_gettime(CLOCK_REALTIME, &precise);
    time->tv_sec = precise.tv_sec;
    time->tv_usec = precise.tv_nsec / 1000;
    return 0;
}
