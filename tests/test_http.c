/* The real HTTP server and client on loopback: how the server handles malformed and oversized
 * requests and connections that are reset, and what many concurrent calls cost the client. */
#include "constants.h"
#include "http-client.h"
#include "http-server.h"
#include <string.h>
#include <sys/socket.h>
#include <time.h>

static GMainLoop *loop;
static KrHttpServer *server;
static guint16 port;
static guint requests_handled;

static void
handler (KrRequest *request, gpointer data)
{
  requests_handled++;
  kr_request_reply (request, kr_request_json (request) ? 200 : 400,
                    json_pack ("{ss}", "path", kr_request_path (request)), 7);
}

/* Returns a TCP port that is free at this moment. */
static guint16
free_port (void)
{
  g_autoptr (GSocket) s =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  g_assert_true (g_socket_bind (s, any, FALSE, NULL));
  g_autoptr (GSocketAddress) a = g_socket_get_local_address (s, NULL);
  return g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (a));
}

typedef struct {
  const char *text;
  gsize length;
  GString *response;
} Exchange;

/* Runs in its own thread with blocking I/O: writes the request, then reads until the response's
 * headers are complete or the server closes. */
static gpointer
exchange_thread (gpointer data)
{
  Exchange *exchange = data;
  g_autoptr (GSocketClient) client = g_socket_client_new ();
  g_autoptr (GSocketConnection) c =
      g_socket_client_connect_to_host (client, "127.0.0.1", port, NULL, NULL);
  char buffer[4096];
  gssize n;
  if (c) {
    g_output_stream_write_all (g_io_stream_get_output_stream (G_IO_STREAM (c)), exchange->text,
                               exchange->length, NULL, NULL, NULL);
    while ((n = g_input_stream_read (g_io_stream_get_input_stream (G_IO_STREAM (c)), buffer,
                                     sizeof buffer, NULL, NULL)) > 0) {
      g_string_append_len (exchange->response, buffer, n);
      if (strstr (exchange->response->str, "\r\n\r\n"))
        break;
    }
  }
  g_main_loop_quit (loop);
  return NULL;
}

/* Sends raw bytes to the server. Returns the response's status, 0 if there was none. */
static guint
send_raw_request (const char *text, gsize length, char **headers)
{
  Exchange exchange = { text, length, g_string_new (NULL) };
  GThread *thread = g_thread_new ("exchange", exchange_thread, &exchange);
  guint status = 0;
  g_main_loop_run (loop);
  g_thread_join (thread);
  if (g_str_has_prefix (exchange.response->str, "HTTP/1.1 "))
    status = (guint) atoi (exchange.response->str + strlen ("HTTP/1.1 "));
  if (headers)
    *headers = g_strdup (exchange.response->str);
  g_string_free (exchange.response, TRUE);
  return status;
}

static guint
post (const char *body, gsize length, char **headers)
{
  g_autoptr (GString) s = g_string_new (NULL);
  g_string_printf (s, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n", length);
  g_string_append_len (s, body, (gssize) length);
  return send_raw_request (s->str, s->len, headers);
}

static void
test_good (void)
{
  g_autofree char *headers = NULL;
  g_assert_cmpuint (post ("{\"a\":1}", 7, &headers), ==, 200);
  g_assert_nonnull (strstr (headers, "Retry-After: 7"));
  g_assert_cmpuint (post ("{\"a\":", 5, NULL), ==, 400);
}

/* A body over the limit is refused without a call of the handler. Later clients are served, and a
 * body of exactly the limit is accepted. */
static void
test_large (void)
{
  gsize n = KR_BODY_MAX_BYTES + 1;
  g_autofree char *body = g_malloc (n);
  guint before = requests_handled;
  memset (body, ' ', n);
  g_assert_cmpuint (post (body, n, NULL), ==, 413);
  g_assert_cmpuint (requests_handled, ==, before);
  body[0] = '{';
  body[1] = '}';
  g_assert_cmpuint (post (body, KR_BODY_MAX_BYTES, NULL), ==, 200);
}

/* A chunked body, whose length is not known in advance, is refused when it passes the limit; the
 * part before the limit is not taken for a complete body. */
static void
test_chunked (void)
{
  g_autoptr (GString) s =
      g_string_new ("POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  g_autofree char *block = g_strnfill (0x1000, ' ');
  for (guint i = 0; i < 64; i++) {
    g_string_append (s, "1000\r\n");
    g_string_append (s, block);
    g_string_append (s, "\r\n");
  }
  g_string_append (s, "2\r\n{}\r\n0\r\n\r\n");
  g_assert_cmpuint (send_raw_request (s->str, s->len, NULL), ==, 413);
}

/* Malformed requests are refused, and later clients are served. */
static void
test_garbage (void)
{
  const char *bad[] = { "GARBAGE\r\n\r\n", "POST /x\r\n\r\n", "GET http://[ HTTP/1.1\r\n\r\n",
                        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n" };
  for (guint i = 0; i < G_N_ELEMENTS (bad); i++)
    g_assert_cmpuint (send_raw_request (bad[i], strlen (bad[i]), NULL), !=, 200);
  g_assert_cmpuint (post ("{}", 2, NULL), ==, 200);
}

/* Guards against a sound submission that is refused for what stands in a field that nobody reads.
 */
static void
test_unknown_fields_of_any_value (void)
{
  static const char recorded[] = "{\"größe\":\"日本語 ✓\",\"n\":18446744073709551615,"
                                 "\"l\":[[],{},true],\"deep\":[[[[[]]]]]}";
  static const char *const values[] = {
    "18446744073709551615", "-9223372036854775809", "123456789012345678901234567890",  "1e999",
    "\"\\u0000\"",          "\"\\ud800\"",          "{\"\\u0000\":1,\"a\":1,\"a\":2}", recorded
  };
  for (guint i = 0; i < G_N_ELEMENTS (values); i++) {
    g_autofree char *body = g_strdup_printf ("{\"Id\":\"wk-1\",\"x\":%s}", values[i]);
    g_test_message ("%s", body);
    g_assert_cmpuint (post (body, strlen (body), NULL), ==, 200);
  }
}

static void
test_deep_unknown_field (void)
{
  const gsize depth = KR_BODY_MAX_BYTES / 2 - 8;
  g_autofree char *open = g_strnfill (depth, '['), *close = g_strnfill (depth, ']');
  g_autofree char *body = g_strdup_printf ("{\"x\":%s%s}", open, close);
  g_assert_cmpuint (post (body, strlen (body), NULL), ==, 200);
}

/* --- reset --------------------------------------------------------------------------------- */
/* Connects and resets the connection at once. It is reset already when the server accepts it from
 * its backlog. */
static void
connect_and_reset (void)
{
  const struct linger linger_zero = { 1, 0 };
  g_autoptr (GError) error = NULL;
  g_autoptr (GSocketAddress) to = g_inet_socket_address_new_from_string ("127.0.0.1", port);
  g_autoptr (GSocket) socket =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, &error);
  g_assert_true (g_socket_connect (socket, to, NULL, &error));
  g_assert_no_error (error);
  g_assert_cmpint (setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &linger_zero,
                               sizeof linger_zero),
                   ==, 0);
  g_socket_close (socket, NULL);
}

/* The failure: "error" lines in the log, on which operators alarm, whenever a client or the load
 * balancer reset a connection before the server had accepted it. Such a connection has no remote
 * address any more, and the server passed it to libsoup without one:
 * "soup_server_connection_new_for_connection: assertion 'G_IS_SOCKET_ADDRESS (remote_addr)'
 * failed". GLib's test framework makes such criticals fatal. Later clients must be served. */
static void
test_reset_before_accept (void)
{
  for (guint i = 0; i < 5; i++)
    connect_and_reset ();
  g_assert_cmpuint (post ("{}", 2, NULL), ==, 200);
  for (guint i = 0; i < 20; i++) { /* more than the server's limit of connections, to show a leak */
    connect_and_reset ();
    g_assert_cmpuint (post ("{}", 2, NULL), ==, 200);
  }
}

/* --- cost of many calls -------------------------------------------------------------------- */
static guint calls_in_flight;

static void
on_response (guint status, json_t *body, gpointer data)
{
  if (--calls_in_flight == 0)
    g_main_loop_quit (loop);
}

static double
thread_cpu_s (void)
{
  struct timespec t;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &t);
  return (double) t.tv_sec + (double) t.tv_nsec / 1e9;
}

/* Returns a listener that never accepts: the kernel completes the connections, but no request is
 * answered. */
static GSocket *
unaccepting_listener (guint16 listener_port)
{
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("0.0.0.0", listener_port);
  GSocket *socket =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_socket_set_listen_backlog (socket, KR_ACCEPT_BACKLOG_MAX);
  g_assert_true (g_socket_bind (socket, any, TRUE, NULL) && g_socket_listen (socket, NULL));
  return socket;
}

/* Returns the CPU seconds for each of `count` calls made at once, each to another host. */
static double
cpu_s_per_call (guint count, guint16 listener_port)
{
  KrHttpClient *client = kr_http_client_new (32, 2, 15);
  double before = thread_cpu_s ();
  calls_in_flight = count;
  for (guint i = 0; i < count; i++) {
    g_autofree char *host = g_strdup_printf ("127.1.%u.%u:%u", i / 250, 1 + i % 250, listener_port);
    kr_http_client_call (client, "GET", host, "/show", NULL, 300, NULL, on_response, NULL);
  }
  g_main_loop_run (loop);
  double cost = (thread_cpu_s () - before) / count;
  kr_http_client_free (client);
  return cost;
}

/* The failure: an owner with 4% of a core cancelled jobs on 160 machines. It sent several commands
 * at once to each of them, again every second, and its main loop did nothing else for 20 s, so the
 * node lost its key (bench/mutes.toml, seed 1: the node berth-1 logged nothing from 126.2 s to
 * 145.9 s). libsoup iterates over all its messages whenever one begins or ends, so each call cost
 * more the more calls waited: 0.24 ms of CPU time with 100 calls at once, 1.15 ms with 800, with
 * gaps of 270 ms in the loop. Waiting calls must cost nothing. */
static void
test_many_calls (void)
{
  guint16 listener_port = free_port ();
  g_autoptr (GSocket) listener = unaccepting_listener (listener_port);
  cpu_s_per_call (50, listener_port); /* one-time initialization, not measured */
  double few = cpu_s_per_call (100, listener_port), many = cpu_s_per_call (3200, listener_port);
  g_test_message ("CPU time per call: %.3f ms with 100 calls, %.3f ms with 3200", few * 1e3,
                  many * 1e3);
  g_assert_cmpfloat (many, <, 2 * few);
}

int
main (int argc, char **argv)
{
  g_autoptr (GError) error = NULL;
  g_test_init (&argc, &argv, NULL);
  loop = g_main_loop_new (NULL, FALSE);
  port = free_port ();
  g_autofree char *address = g_strdup_printf ("127.0.0.1:%u", port);
  server = kr_http_server_new (address, 8, 30, NULL, handler, NULL, &error);
  g_assert_no_error (error);
  g_test_add_func ("/http/good", test_good);
  g_test_add_func ("/http/large", test_large);
  g_test_add_func ("/http/chunked", test_chunked);
  g_test_add_func ("/http/garbage", test_garbage);
  g_test_add_func ("/http/unknown-fields-of-any-value", test_unknown_fields_of_any_value);
  g_test_add_func ("/http/deep-unknown-field", test_deep_unknown_field);
  g_test_add_func ("/http/reset-before-accept", test_reset_before_accept);
  g_test_add_func ("/http/many-calls", test_many_calls);
  return g_test_run ();
}
