/* Makes system calls of one process fail, as Linux documents that they may, and steps its wall clock.
 *
 * Loaded with LD_PRELOAD into a gateway of the soak. A file that the soak maps as well says what happens now:
 * see sagetrack/lab/soak/shim.py, which writes it. Rates are in calls of 1,000; 0 leaves a call alone. Opening
 * fails for files in SOAK_FOLDER alone, so that the program itself can be read.
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

struct control {
    int64_t wall_step_us;
    uint32_t accept_rate, connect_rate, socket_rate, read_rate, write_rate, file_rate, watch_rate;
    uint32_t accept_error; /* 0: any of those below */
    uint32_t failed;       /* calls that were made to fail */
    uint32_t seed;
};

static struct control *control;
static struct control nothing;
static __thread uint32_t state;

static struct control *now(void) {
    if (!control) {
        const char *path = getenv("SOAK_CONTROL");
        struct control *found = &nothing;
        int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
        if (file >= 0) {
            void *at = mmap(NULL, sizeof *control, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
            if (at != MAP_FAILED)
                found = at;
            close(file);
        }
        control = found;
    }
    return control;
}

static uint32_t draw(void) {
    if (!state)
        state = now()->seed * 2654435761u + (uint32_t)getpid() + 1u;
    state ^= state << 13;
    state ^= state >> 17;
    state ^= state << 5;
    return state;
}

static int fails(uint32_t rate) {
    if (!rate || draw() % 1000 >= rate)
        return 0;
    __atomic_add_fetch(&now()->failed, 1, __ATOMIC_RELAXED);
    return 1;
}

static int error_of(const int *errors, size_t count) {
    errno = errors[draw() % count];
    return -1;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) \
        real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)
#define FAIL_WITH(...) \
    do { \
        static const int errors[] = {__VA_ARGS__}; \
        return error_of(errors, sizeof errors / sizeof *errors); \
    } while (0)

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    if (fails(now()->accept_rate)) {
        if (now()->accept_error) {
            errno = (int)now()->accept_error;
            return -1;
        }
        FAIL_WITH(ECONNABORTED, ENFILE, ENOBUFS, EINTR, EMFILE, EPROTO, ENOMEM);
    }
    return real(fd, address, length, flags);
}

int accept(int fd, struct sockaddr *address, socklen_t *length) { return accept4(fd, address, length, 0); }

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fails(now()->connect_rate))
        FAIL_WITH(EADDRNOTAVAIL, ENETUNREACH, ETIMEDOUT, EHOSTUNREACH, ECONNREFUSED);
    return real(fd, address, length);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && fails(now()->socket_rate))
        FAIL_WITH(ENFILE, EMFILE, ENOBUFS, ENOMEM);
    return real(domain, type, protocol);
}

static int is_socket(int fd) {
    int type;
    socklen_t length = sizeof type;
    int before = errno;
    int found = !getsockopt(fd, SOL_SOCKET, SO_TYPE, &type, &length) && type == SOCK_STREAM;
    errno = before;
    return found;
}

ssize_t read(int fd, void *data, size_t size) {
    REAL(read);
    if (now()->read_rate && is_socket(fd) && fails(now()->read_rate)) {
        if (draw() & 1)
            FAIL_WITH(EINTR);
        size = size > 7 ? 7 : size;
    }
    return real(fd, data, size);
}

ssize_t recv(int fd, void *data, size_t size, int flags) {
    REAL(recv);
    if (fails(now()->read_rate)) {
        if (draw() & 1)
            FAIL_WITH(EINTR);
        size = size > 7 ? 7 : size;
    }
    return real(fd, data, size, flags);
}

ssize_t write(int fd, const void *data, size_t size) {
    REAL(write);
    if (fd == STDERR_FILENO) {
        if (fails(now()->file_rate))
            FAIL_WITH(ENOSPC, EIO);
    } else if (now()->write_rate && is_socket(fd) && fails(now()->write_rate)) {
        if (draw() & 1)
            FAIL_WITH(EAGAIN);
        size = size > 7 ? 7 : size;
    } else if (now()->file_rate && !is_socket(fd) && size > 8 && fails(now()->file_rate)) {
        if (draw() & 1)
            FAIL_WITH(ENOSPC, EIO);
        size /= 2;
    }
    return real(fd, data, size);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
    REAL(writev);
    if (now()->write_rate && fails(now()->write_rate)) {
        if (draw() & 1)
            FAIL_WITH(EAGAIN);
        count = 1;
    }
    return real(fd, parts, count);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    if (fails(now()->write_rate))
        FAIL_WITH(EAGAIN);
    return real(fd, message, flags);
}

int open64(const char *path, int flags, ...) {
    REAL(open64);
    va_list more;
    va_start(more, flags);
    int mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(more, int) : 0;
    va_end(more);
    const char *folder = getenv("SOAK_FOLDER");
    if (folder && !strncmp(path, folder, strlen(folder)) && fails(now()->file_rate))
        FAIL_WITH(EMFILE, ENFILE, EIO);
    return real(path, flags, mode);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    if (fails(now()->file_rate))
        FAIL_WITH(ENOSPC, EIO);
    return real(from, to);
}

int fsync(int fd) {
    REAL(fsync);
    if (fails(now()->file_rate))
        FAIL_WITH(EIO, ENOSPC);
    return real(fd);
}

int fdatasync(int fd) {
    REAL(fdatasync);
    if (fails(now()->file_rate))
        FAIL_WITH(EIO, ENOSPC);
    return real(fd);
}

int epoll_ctl(int epfd, int op, int fd, struct epoll_event *event) {
    REAL(epoll_ctl);
    /* Only what asks for EPOLLRDHUP alone: an event loop cannot go on without its own. */
    if (op == EPOLL_CTL_ADD && event && event->events == EPOLLRDHUP && fails(now()->watch_rate))
        FAIL_WITH(ENOSPC, ENOMEM);
    return real(epfd, op, fd, event);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    int64_t step_us = now()->wall_step_us;
    if (!result && step_us && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t ns = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + step_us * 1000;
        time->tv_sec = ns / 1000000000;
        time->tv_nsec = ns % 1000000000;
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
