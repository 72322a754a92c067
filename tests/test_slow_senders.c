/* Requests that arrive slowly, in part or malformed, at the real HTTP server on loopback: others
 * are answered meanwhile, and each of them gets an answer or its connection is closed. */
#include "constants.h"
#include "http-server.h"
#include <netinet/in.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define PLACES 8
#define SLOW_SENDERS (3 * PLACES)
#define SLOW_HEAD "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n"
#define GOOD_REQUEST "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
#define GOOD_REQUESTS 20
/* A user waits so long for an answer. */
#define ANSWER_WAIT_MS 2000
/* A connection is closed this much after its deadline at the latest. */
#define CLOSE_SLACK_S 2.0

static GMainLoop *loop;
static KrHttpServer *server;
static struct sockaddr_in server_address = { .sin_family = AF_INET };
static guint smuggled; /* requests that stand in the body of another */

static void
handler (KrRequest *request, gpointer data)
{
  smuggled += g_str_equal (kr_request_path (request), "/smuggled");
  kr_request_reply (request, 200, NULL, 0);
}

static int
connect_to_server (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  if (connect (fd, (struct sockaddr *) &server_address, sizeof server_address) == 0)
    return fd;
  close (fd);
  return -1;
}

static gboolean
send_text (int fd, const char *text, gsize length)
{
  return send (fd, text, length, MSG_NOSIGNAL) == (gssize) length;
}

/* Whether the server answers or closes within that time. */
static gboolean
ends_within (int fd, int wait_ms)
{
  struct pollfd readable = { fd, POLLIN, 0 };
  return poll (&readable, 1, wait_ms) == 1;
}

/* Returns whether the request was answered by 200 in time. */
static gboolean
request_is_answered (void)
{
  char answer[16] = "";
  int fd = connect_to_server ();
  gboolean answered = fd >= 0 && send_text (fd, GOOD_REQUEST, strlen (GOOD_REQUEST)) &&
                      ends_within (fd, ANSWER_WAIT_MS) &&
                      recv (fd, answer, sizeof answer - 1, 0) > 0 &&
                      g_str_has_prefix (answer, "HTTP/1.1 200");
  close (fd);
  return answered;
}

/* Runs a client with blocking calls beside the server's main loop. */
static void
run_client (GThreadFunc client)
{
  GThread *thread = g_thread_new ("client", client, NULL);
  g_main_loop_run (loop);
  g_thread_join (thread);
}

static gpointer
end_client (void)
{
  g_main_loop_quit (loop);
  return NULL;
}

/* Runs the main loop until the server has no connection left. */
static void
assert_places_are_free (void)
{
  gint64 end = g_get_monotonic_time () + 5 * G_USEC_PER_SEC;
  while (kr_http_server_stats (server).open && g_get_monotonic_time () < end)
    g_main_context_iteration (NULL, FALSE);
  g_assert_cmpuint (kr_http_server_stats (server).open, ==, 0);
}

/* --- slow senders ------------------------------------------------------------------------ */
static gint slow_senders_stop;

/* Keeps connections on which a byte of a body arrives now and then; each that is closed is opened
 * again. */
static gpointer
send_slowly (gpointer data)
{
  int fds[SLOW_SENDERS];
  memset (fds, -1, sizeof fds);
  while (!g_atomic_int_get (&slow_senders_stop)) {
    for (guint i = 0; i < SLOW_SENDERS; i++) {
      if (fds[i] >= 0 && !ends_within (fds[i], 0) && send_text (fds[i], " ", 1))
        continue;
      if (fds[i] >= 0)
        close (fds[i]);
      fds[i] = connect_to_server ();
      send_text (fds[i], SLOW_HEAD, strlen (SLOW_HEAD));
    }
    g_usleep (50000);
  }
  for (guint i = 0; i < SLOW_SENDERS; i++)
    close (fds[i]);
  return NULL;
}

static gpointer
ask_beside_slow_senders (gpointer data)
{
  GThread *slow = g_thread_new ("slow", send_slowly, NULL);
  g_usleep (1000000);
  for (guint i = 0; i < GOOD_REQUESTS; i++)
    g_assert_true (request_is_answered ());
  g_atomic_int_set (&slow_senders_stop, TRUE);
  g_thread_join (slow);
  return end_client ();
}

/* Guards against a controller that answers nobody while slow senders hold all its connections. */
static void
test_slow_senders_do_not_shut_others_out (void)
{
  run_client (ask_beside_slow_senders);
  g_assert_cmpuint (kr_http_server_stats (server).closed_for_room, >, 0);
  assert_places_are_free ();
}

static gpointer
send_one_request_slowly (gpointer data)
{
  gint64 start = g_get_monotonic_time ();
  int fd = connect_to_server ();
  g_assert_true (send_text (fd, SLOW_HEAD, strlen (SLOW_HEAD)));
  while (!ends_within (fd, 300))
    send_text (fd, " ", 1);
  double took_s = (double) (g_get_monotonic_time () - start) / G_USEC_PER_SEC;
  g_assert_cmpfloat (took_s, <, KR_REQUEST_READ_MAX_S + CLOSE_SLACK_S);
  close (fd);
  return end_client ();
}

/* Guards against a deadline that starts anew with each byte. */
static void
test_request_has_a_deadline_as_a_whole (void)
{
  run_client (send_one_request_slowly);
  g_assert_cmpuint (kr_http_server_stats (server).closed_late, ==, 1);
  assert_places_are_free ();
}

/* --- malformed requests ------------------------------------------------------------------- */
static const char two_requests[] = GOOD_REQUEST GOOD_REQUEST;
static const char request_in_a_body[] =
    "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 43\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: h\r\n\r\n";
static const char *const malformed_requests[] = {
  "POST /x HTTP/1.1\r\nHost: h\r\n\r\n{}",
  "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 5\r\n\r\n{}",
  "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n{}",
  "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999999999999999\r\n\r\n{}",
  "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: two\r\n\r\n{}",
  "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n{}\r\n0\r\n\r\n",
  "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-2\r\n{}\r\n0\r\n\r\n",
  "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip\r\n\r\n{}",
  "POST /x HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n",
  "POST /x HTTP/1.1\r\nHost: h\r\nExpect: wonders\r\nContent-Length: 2\r\n\r\n{}",
  "POST /x HTTP/1.0\r\nContent-Length: 2\r\n\r\n{}",
  "POST /x HTTP/9.9\r\nHost: h\r\n\r\n",
  "GET /x HTTP/1.1\r\n\r\n",
  "GET  HTTP/1.1\r\nHost: h\r\n\r\n",
  "GET /%zz%00 HTTP/1.1\r\nHost: h\r\n\r\n",
  "\r\n\r\n\r\n",
  "\x16\x03\x01\x02",
  two_requests,
  request_in_a_body,
};

static void
assert_ends_and_others_are_answered (const char *text, gsize length)
{
  int fd = connect_to_server ();
  send_text (fd, text, length);
  g_assert_true (ends_within (fd, (int) ((KR_REQUEST_READ_MAX_S + CLOSE_SLACK_S) * 1000)));
  close (fd);
  g_assert_true (request_is_answered ());
}

static gpointer
send_malformed_requests (gpointer data)
{
  g_autofree char *value = g_strnfill (KR_BODY_MAX_BYTES, 'x');
  g_autofree char *long_head = g_strdup_printf ("GET /x HTTP/1.1\r\nHost: h\r\nX: %s", value);
  for (guint i = 0; i < G_N_ELEMENTS (malformed_requests); i++) {
    g_test_message ("%s", malformed_requests[i]);
    assert_ends_and_others_are_answered (malformed_requests[i], strlen (malformed_requests[i]));
  }
  assert_ends_and_others_are_answered (long_head, strlen (long_head));
  return end_client ();
}

static void
test_malformed_requests_end (void)
{
  run_client (send_malformed_requests);
  g_assert_cmpuint (smuggled, ==, 0);
  assert_places_are_free ();
}

/* Closes the connection after each number of bytes of a request. */
static gpointer
close_in_every_place (gpointer data)
{
  for (gsize length = 0; length < strlen (GOOD_REQUEST); length++) {
    int fd = connect_to_server ();
    g_assert_cmpint (fd, >=, 0);
    send_text (fd, GOOD_REQUEST, length);
    close (fd);
    g_assert_true (request_is_answered ());
  }
  return end_client ();
}

static void
test_close_in_every_place (void)
{
  run_client (close_in_every_place);
  assert_places_are_free ();
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  socklen_t length = sizeof server_address;
  g_test_init (&argc, &argv, NULL);
  loop = g_main_loop_new (NULL, FALSE);
  int probe = socket (AF_INET, SOCK_STREAM, 0);
  server_address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  g_assert_cmpint (bind (probe, (struct sockaddr *) &server_address, length), ==, 0);
  g_assert_cmpint (getsockname (probe, (struct sockaddr *) &server_address, &length), ==, 0);
  close (probe);
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", ntohs (server_address.sin_port));
  server = kr_http_server_new (address, PLACES, KR_CONN_IDLE_S, NULL, handler, NULL, &error);
  g_assert_no_error (error);
  g_test_add_func ("/slow-senders/request-has-a-deadline-as-a-whole",
                   test_request_has_a_deadline_as_a_whole);
  g_test_add_func ("/slow-senders/do-not-shut-others-out",
                   test_slow_senders_do_not_shut_others_out);
  g_test_add_func ("/slow-senders/malformed-requests-end", test_malformed_requests_end);
  g_test_add_func ("/slow-senders/close-in-every-place", test_close_in_every_place);
  return g_test_run ();
}
