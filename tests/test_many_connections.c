/* Calls of the HTTP client beside hundreds of idle connections, with the real HTTP library on
 * loopback. */
#include "constants.h"
#include "http-client.h"
#include <dlfcn.h>
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define MAX_CONNS 600
#define IDLE_CONNS 400 /* left by the first calls */
#define CALLS 190      /* to other hosts; with the idle connections within the limit */
#define CALL_TIMEOUT_MS 1000
/* At its start and at its end a call may look at the connections of its own session only. */
#define READS_PER_CALL_MAX (2 * KR_HTTP_SESSION_CONNS + 8)

static GMainLoop *loop;
static guint calls_in_flight, calls_answered;
static guint reads; /* calls of recv() in this process; the peer uses read() */

/* Takes the place of recv(), also for the libraries. */
ssize_t counting_recv (int fd, void *buffer, size_t size, int flags) __asm__("recv");

ssize_t
counting_recv (int fd, void *buffer, size_t size, int flags)
{
  static ssize_t (*real) (int, void *, size_t, int);
  if (!real)
    *(void **) &real = dlsym (RTLD_NEXT, "recv");
  reads++;
  return real (fd, buffer, size, flags);
}

/* --- the peer: answers every request and keeps its connections open ------------------------- */
static struct pollfd peer_fds[4 * MAX_CONNS];
static nfds_t peer_fd_count;

static void
answer_request (int fd)
{
  static const char response[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  char request[4096];
  if (read (fd, request, sizeof request) > 0 &&
      write (fd, response, sizeof response - 1) == (ssize_t) sizeof response - 1)
    return;
  close (fd);
  for (nfds_t i = 1; i < peer_fd_count; i++)
    if (peer_fds[i].fd == fd)
      peer_fds[i].fd = -1; /* poll() ignores it */
}

static gpointer
serve (gpointer data)
{
  for (;;) {
    if (poll (peer_fds, peer_fd_count, -1) < 0)
      continue;
    for (nfds_t i = 1; i < peer_fd_count; i++)
      if (peer_fds[i].revents)
        answer_request (peer_fds[i].fd);
    if (!peer_fds[0].revents)
      continue;
    g_assert_cmpuint (peer_fd_count, <, G_N_ELEMENTS (peer_fds));
    peer_fds[peer_fd_count++] = (struct pollfd){ accept (peer_fds[0].fd, NULL, NULL), POLLIN, 0 };
  }
  return NULL;
}

/* Returns the port of a new listener on all addresses. */
static guint16
start_listener (int *fd)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t length = sizeof address;
  *fd = socket (AF_INET, SOCK_STREAM, 0);
  g_assert_cmpint (bind (*fd, (struct sockaddr *) &address, sizeof address), ==, 0);
  g_assert_cmpint (listen (*fd, KR_ACCEPT_BACKLOG_MAX), ==, 0);
  g_assert_cmpint (getsockname (*fd, (struct sockaddr *) &address, &length), ==, 0);
  return ntohs (address.sin_port);
}

/* --- calls -------------------------------------------------------------------------------- */
static void
on_response (guint status, json_t *body, gpointer data)
{
  calls_answered += status == 200;
  if (--calls_in_flight == 0)
    g_main_loop_quit (loop);
}

/* Makes `count` calls at once, each to another host, and returns the reads for each. */
static double
reads_per_call (KrHttpClient *client, guint first_host, guint count, guint16 port)
{
  reads = calls_answered = 0;
  calls_in_flight = count;
  for (guint i = first_host; i < first_host + count; i++) {
    g_autofree char *host = g_strdup_printf ("127.3.%u.%u:%u", i / 250, 1 + i % 250, port);
    kr_http_client_call (client, "GET", host, "/show", NULL, CALL_TIMEOUT_MS, NULL, on_response,
                         NULL);
  }
  g_main_loop_run (loop);
  return (double) reads / count;
}

static void
test_walk_over_idle_connections (void)
{
  KrHttpClient *client = kr_http_client_new (MAX_CONNS, 2, 60);
  int silent_fd;
  guint16 port = start_listener (&peer_fds[0].fd), silent_port = start_listener (&silent_fd);
  peer_fds[0].events = POLLIN;
  peer_fd_count = 1;
  g_thread_unref (g_thread_new ("peer", serve, NULL));

  reads_per_call (client, 0, IDLE_CONNS, port);
  g_assert_cmpuint (calls_answered, ==, IDLE_CONNS);
  double silent = reads_per_call (client, IDLE_CONNS, CALLS, silent_port);
  g_assert_cmpuint (calls_answered, ==, 0);
  double answering = reads_per_call (client, IDLE_CONNS + CALLS, CALLS, port);
  g_assert_cmpuint (calls_answered, ==, CALLS);
  g_test_message ("reads for each call: %.1f to silent hosts, %.1f to answering ones", silent,
                  answering);
  g_assert_cmpfloat (silent, <=, READS_PER_CALL_MAX);
  g_assert_cmpfloat (answering, <=, READS_PER_CALL_MAX);
  kr_http_client_free (client);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  loop = g_main_loop_new (NULL, FALSE);
  g_test_add_func ("/http/walk-over-idle-connections", test_walk_over_idle_connections);
  return g_test_run ();
}
