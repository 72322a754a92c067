/* Outbound calls on loopback, with the real HTTP library (libsoup): each call answers its caller
 * exactly once, at the latest at its deadline.
 *
 * The failure: a controller whose process had stalled for 56 s never again answered a request about
 * its jobs. It still renewed its lease, so no other node took over its shard.
 * How it comes about: after the stall the node cancels its watch and lists all keys again. That
 * call was put on an idle connection whose idle timeout had passed meanwhile. libsoup closes such a
 * connection in the same iteration of the main loop and then reports neither the end of the call
 * nor its cancellation. Callers were answered only when libsoup reported the end.
 * To reproduce it, one idle connection, a loop blocked for longer than the idle timeout and one
 * call suffice, without a watch or a cancellation: the call was lost in 4 of 8 runs and libsoup
 * crashed in the other 4; neither happened with a shorter block or without an idle timeout in
 * libsoup. Calls made within a millisecond of the idle timeout are lost without any block
 * (/calls/idle-end). */
#include "constants.h"
#include "http-client.h"
#include "state-client.h"
#include <dlfcn.h>
#include <libsoup/soup.h>
#include <string.h>
#include <sys/socket.h>

#define CONN_IDLE_S 1    /* idle timeout of all clients in this file */
#define BLOCK_LONG_S 1.5 /* longer than the idle timeout */
#define BLOCK_SHORT_S 0.4
#define CALL_DEADLINE_S 1.0
#define WATCH_DEADLINE_S 8.0   /* of a watch: the peer does not answer it */
#define LOOP_DELAY_MAX_S 0.5   /* by which a busy machine may delay the main loop */
#define RENEWAL_RESPONSE_S 0.2 /* until the peer answers a lease renewal */
#define MAX_CONNS 4            /* for each client */
#define IDLE_CONNS 3

/* --- the peer: one thread for each connection, which runs while the main loop is blocked --- */
typedef enum {
  PEER_KEEPS_OPEN,      /* keeps idle connections open */
  PEER_CLOSES_IDLE,     /* closes connections after CONN_IDLE_S without a request */
  PEER_RESETS_IDLE,     /* the same, with a TCP reset */
  PEER_STOPS_ANSWERING, /* answers the first IDLE_CONNS calls, then none */
  PEER_BEHAVIORS
} PeerBehavior;

typedef struct {
  PeerBehavior behavior;
  GSocket *listener;
  char *host;
  gint responses_sent, connections; /* atomic */
} Peer;

typedef struct {
  Peer *peer;
  GSocket *socket;
} Connection;

static void
reset_on_close (GSocket *socket)
{
  const struct linger linger_zero = { 1, 0 };
  setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &linger_zero, sizeof linger_zero);
}

/* Returns FALSE if the request is left unanswered or the connection is broken. */
static gboolean
send_response (Connection *connection, const char *request)
{
  static const char response[] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 "Content-Length: 2\r\n\r\n{}";
  Peer *peer = connection->peer;
  if (g_str_has_prefix (request, "GET /held "))
    return FALSE;
  if (g_str_has_prefix (request, "GET /renewal "))
    g_usleep ((gulong) (RENEWAL_RESPONSE_S * G_USEC_PER_SEC));
  if (peer->behavior == PEER_STOPS_ANSWERING &&
      g_atomic_int_get (&peer->responses_sent) >= IDLE_CONNS)
    return FALSE;
  g_atomic_int_inc (&peer->responses_sent);
  return g_socket_send (connection->socket, response, strlen (response), NULL, NULL) > 0;
}

/* Reads one request. Returns FALSE if the connection ends or times out first. */
static gboolean
read_request (GSocket *socket, char *buffer, gsize size)
{
  gsize length = 0;
  gssize n;
  while (length < size - 1 &&
         (n = g_socket_receive (socket, buffer + length, size - 1 - length, NULL, NULL)) > 0) {
    length += (gsize) n;
    buffer[length] = 0;
    if (strstr (buffer, "\r\n\r\n"))
      return TRUE;
  }
  return FALSE;
}

static gpointer
serve_connection (gpointer data)
{
  Connection *connection = data;
  PeerBehavior behavior = connection->peer->behavior;
  char buffer[4096];
  g_atomic_int_inc (&connection->peer->connections);
  while (read_request (connection->socket, buffer, sizeof buffer)) {
    if (!send_response (connection, buffer)) {
      g_usleep ((gulong) (2 * WATCH_DEADLINE_S * G_USEC_PER_SEC));
      break;
    }
    if (behavior == PEER_CLOSES_IDLE || behavior == PEER_RESETS_IDLE)
      g_socket_set_timeout (connection->socket, CONN_IDLE_S);
  }
  if (behavior == PEER_RESETS_IDLE)
    reset_on_close (connection->socket);
  g_socket_close (connection->socket, NULL);
  g_atomic_int_dec_and_test (&connection->peer->connections);
  g_object_unref (connection->socket);
  g_free (connection);
  return NULL;
}

static gpointer
accept_connections (gpointer data)
{
  Peer *peer = data;
  GSocket *socket;
  while ((socket = g_socket_accept (peer->listener, NULL, NULL))) {
    Connection *connection = g_new (Connection, 1);
    *connection = (Connection){ peer, socket };
    g_thread_unref (g_thread_new ("connection", serve_connection, connection));
  }
  return NULL;
}

/* A peer is never freed: its threads run until the process ends. */
static Peer *
peer_new (PeerBehavior behavior)
{
  Peer *peer = g_new0 (Peer, 1);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  peer->behavior = behavior;
  peer->listener =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  /* Hundreds of clients connect at once. */
  g_socket_set_listen_backlog (peer->listener, KR_ACCEPT_BACKLOG_MAX);
  g_assert_true (g_socket_bind (peer->listener, any, TRUE, NULL) &&
                 g_socket_listen (peer->listener, NULL));
  g_autoptr (GSocketAddress) own = g_socket_get_local_address (peer->listener, NULL);
  peer->host = g_strdup_printf ("127.0.0.1:%u",
                                g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (own)));
  g_thread_unref (g_thread_new ("accept", accept_connections, peer));
  return peer;
}

/* --- calls --------------------------------------------------------------------------------- */
typedef struct {
  guint completions, status;
  gint64 started_at, completed_at; /* monotonic us */
} CallResult;

static GMainLoop *loop;

static void
on_response (guint status, json_t *body, gpointer data)
{
  CallResult *result = data;
  result->completions++;
  result->status = status;
  result->completed_at = g_get_monotonic_time ();
}

static void
start_call (KrHttpClient *client, const Peer *peer, const char *path, double deadline_s,
            GCancellable *cancel, CallResult *result)
{
  result->started_at = g_get_monotonic_time ();
  kr_http_client_call (client, "GET", peer->host, path, NULL, (guint) (deadline_s * 1000), cancel,
                       on_response, result);
}

static gboolean
quit (gpointer data)
{
  g_main_loop_quit (loop);
  return G_SOURCE_REMOVE;
}

static void
run_for (double seconds)
{
  g_timeout_add ((guint) (seconds * 1000), quit, NULL);
  g_main_loop_run (loop);
}

static void
assert_completed_in_time (const CallResult *result)
{
  g_assert_cmpuint (result->completions, ==, 1);
  g_assert_cmpfloat ((double) (result->completed_at - result->started_at) / G_USEC_PER_SEC, <,
                     CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
}

/* --- calls after the main loop was blocked ------------------------------------------------- */
typedef enum {
  CANCEL_BEFORE_BLOCK,
  CANCEL_BEFORE_CALL,
  CANCEL_AFTER_CALL,
  CANCEL_TIMES
} CancelTime;

/* A client with idle connections, watches and a lease renewal in flight. The main loop is blocked,
 * and a call is made right after it. The watches are cancelled at `cancel_time`. */
typedef struct {
  Peer *peer;
  CancelTime cancel_time;
  gboolean all_conns_busy; /* watches use all connections */
  KrHttpClient *client;
  GCancellable *cancel;
  CallResult idle[IDLE_CONNS], watches[MAX_CONNS], renewal, call_after_block, later_call;
} BlockedCase;

typedef struct {
  BlockedCase cases[PEER_BEHAVIORS * CANCEL_TIMES * 2];
  guint count;
  double block_s;
} BlockedTest;

static void
cancel_watch (BlockedCase *blocked_case)
{
  g_cancellable_cancel (blocked_case->cancel);
}

static gboolean
cancel_watches_after_call (gpointer data)
{
  BlockedTest *test = data;
  for (guint i = 0; i < test->count; i++)
    if (test->cases[i].cancel_time == CANCEL_AFTER_CALL)
      cancel_watch (&test->cases[i]);
  return G_SOURCE_REMOVE;
}

/* The first callback after the block, as in a node, where the stall detector comes first. */
static gboolean
run_after_block (gpointer data)
{
  BlockedTest *test = data;
  for (guint i = 0; i < test->count; i++) {
    BlockedCase *blocked_case = &test->cases[i];
    if (blocked_case->cancel_time == CANCEL_BEFORE_CALL)
      cancel_watch (blocked_case);
    start_call (blocked_case->client, blocked_case->peer, "/store", CALL_DEADLINE_S, NULL,
                &blocked_case->call_after_block);
  }
  g_timeout_add (1, cancel_watches_after_call, test);
  return G_SOURCE_REMOVE;
}

static gboolean
block_loop (gpointer data)
{
  BlockedTest *test = data;
  for (guint i = 0; i < test->count; i++)
    if (test->cases[i].cancel_time == CANCEL_BEFORE_BLOCK)
      cancel_watch (&test->cases[i]);
  g_usleep ((gulong) (test->block_s * G_USEC_PER_SEC));
  g_timeout_add_full (G_PRIORITY_HIGH, 0, run_after_block, test, NULL);
  return G_SOURCE_REMOVE;
}

static void
start_cases (BlockedTest *test)
{
  for (guint i = 0; i < test->count; i++) {
    BlockedCase *blocked_case = &test->cases[i];
    blocked_case->client = kr_http_client_new (MAX_CONNS, MAX_CONNS, CONN_IDLE_S);
    blocked_case->cancel = g_cancellable_new ();
    for (guint c = 0; c < IDLE_CONNS; c++)
      start_call (blocked_case->client, blocked_case->peer, "/idle", CALL_DEADLINE_S, NULL,
                  &blocked_case->idle[c]);
  }
  run_for (0.3); /* until these calls are answered */
  for (guint i = 0; i < test->count; i++) {
    BlockedCase *blocked_case = &test->cases[i];
    guint watches = blocked_case->all_conns_busy ? MAX_CONNS : 1;
    for (guint c = 0; c < watches; c++)
      start_call (blocked_case->client, blocked_case->peer, "/held", WATCH_DEADLINE_S,
                  blocked_case->cancel, &blocked_case->watches[c]);
    start_call (blocked_case->client, blocked_case->peer, "/renewal", CALL_DEADLINE_S, NULL,
                &blocked_case->renewal);
  }
}

static void
check_case (BlockedCase *blocked_case)
{
  for (guint c = 0; c < IDLE_CONNS; c++)
    g_assert_cmpuint (blocked_case->idle[c].status, ==, 200);
  for (guint c = 0; c < (blocked_case->all_conns_busy ? MAX_CONNS : 1); c++) {
    g_assert_cmpuint (blocked_case->watches[c].completions, ==, 1);
    g_assert_cmpuint (blocked_case->watches[c].status, ==, 0);
  }
  g_assert_cmpuint (blocked_case->renewal.completions, ==, 1);
  assert_completed_in_time (&blocked_case->call_after_block);
  g_assert_cmpuint (blocked_case->call_after_block.status, ==,
                    blocked_case->peer->behavior == PEER_STOPS_ANSWERING ? 0 : 200);
  /* Later calls also get a connection. */
  assert_completed_in_time (&blocked_case->later_call);
  g_assert_cmpuint (blocked_case->later_call.status, ==,
                    blocked_case->peer->behavior == PEER_STOPS_ANSWERING ? 0 : 200);
}

static void
test_blocked_for (double block_s)
{
  g_autofree BlockedTest *test = g_new0 (BlockedTest, 1);
  test->block_s = block_s;
  for (guint behavior = 0; behavior < PEER_BEHAVIORS; behavior++)
    for (guint cancel_time = 0; cancel_time < CANCEL_TIMES; cancel_time++)
      for (guint all_conns_busy = 0; all_conns_busy < 2; all_conns_busy++)
        test->cases[test->count++] = (BlockedCase){ .peer = peer_new (behavior),
                                                    .cancel_time = cancel_time,
                                                    .all_conns_busy = all_conns_busy };
  start_cases (test);
  g_timeout_add (100, block_loop, test);
  run_for (0.1 + block_s + CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
  for (guint i = 0; i < test->count; i++)
    start_call (test->cases[i].client, test->cases[i].peer, "/later", CALL_DEADLINE_S, NULL,
                &test->cases[i].later_call);
  run_for (CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
  for (guint i = 0; i < test->count; i++) {
    const BlockedCase *blocked_case = &test->cases[i];
    g_test_message (
        "peer behavior %u, cancel time %u, all connections busy %d: %u completions, status %u",
        blocked_case->peer->behavior, blocked_case->cancel_time, blocked_case->all_conns_busy,
        blocked_case->call_after_block.completions, blocked_case->call_after_block.status);
    check_case (&test->cases[i]);
  }
}

static void
test_blocked_long (void)
{
  test_blocked_for (BLOCK_LONG_S);
}

static void
test_blocked_short (void)
{
  test_blocked_for (BLOCK_SHORT_S);
}

/* --- calls made while unused connections are closed ---------------------------------------- */
#define IDLE_END_CLIENTS 320  /* each makes one such call */
#define IDLE_END_LEAD_S 0.002 /* the first call is that long before the idle timeout */
#define IDLE_END_SPAN_S 0.006 /* range of the calls' offsets from the idle timeout */

typedef struct {
  KrHttpClient *client;
  const Peer *peer;
  gint64 due_at; /* monotonic us */
  CallResult first_result, second_result;
} IdleEndClient;

static gboolean
call_when_due (gpointer data)
{
  IdleEndClient *idle_client = data;
  while (g_get_monotonic_time () < idle_client->due_at)
    ;
  start_call (idle_client->client, idle_client->peer, "/store", CALL_DEADLINE_S, NULL,
              &idle_client->second_result);
  return G_SOURCE_REMOVE;
}

static void
idle_client_start (IdleEndClient *idle_client, gint priority, double offset_s)
{
  guint wait_ms = (guint) ((CONN_IDLE_S + offset_s) * 1000) - 1;
  start_call (idle_client->client, idle_client->peer, "/idle", CALL_DEADLINE_S, NULL,
              &idle_client->first_result);
  idle_client->due_at =
      idle_client->first_result.started_at + (gint64) ((CONN_IDLE_S + offset_s) * G_USEC_PER_SEC);
  g_timeout_add_full (priority, wait_ms, call_when_due, idle_client, NULL);
}

/* The failure that the head of this file describes, without a blocked loop: calls are made from
 * 2 ms before the idle timeout to 4 ms after it, by sources that are dispatched before, among and
 * after the timers of that loop iteration. With libsoup's own idle timeout one call in fifteen was
 * lost, or the process crashed. The connection limits are those of the clients for the state
 * service, the cloud, the peers and the workers. */
static void
test_idle_end (void)
{
  static const struct {
    guint conns, per_host;
  } kinds[] = { { 8, 8 }, { 4, 4 }, { 16, 4 }, { 32, 2 } };
  static const gint priorities[] = { G_PRIORITY_HIGH, G_PRIORITY_DEFAULT, G_PRIORITY_LOW };
  g_autofree IdleEndClient *idle_clients = g_new0 (IdleEndClient, IDLE_END_CLIENTS);
  const Peer *peer = peer_new (PEER_KEEPS_OPEN);
  for (guint i = 0; i < IDLE_END_CLIENTS; i++) {
    guint client_kind = i % G_N_ELEMENTS (kinds);
    idle_clients[i].peer = peer;
    idle_clients[i].client =
        kr_http_client_new (kinds[client_kind].conns, kinds[client_kind].per_host, CONN_IDLE_S);
    idle_client_start (&idle_clients[i], priorities[i % G_N_ELEMENTS (priorities)],
                       IDLE_END_SPAN_S * i / IDLE_END_CLIENTS - IDLE_END_LEAD_S);
    run_for (0.004); /* spreads the clients' timeouts in time */
  }
  run_for (CONN_IDLE_S + CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
  for (guint i = 0; i < IDLE_END_CLIENTS; i++) {
    assert_completed_in_time (&idle_clients[i].second_result);
    g_assert_cmpuint (idle_clients[i].second_result.status, ==, 200);
    kr_http_client_free (idle_clients[i].client);
  }
}

/* A client closes its unused connections after the idle timeout, but not while it has a call in
 * flight. */
static void
test_unused_closed (void)
{
  Peer *peer = peer_new (PEER_KEEPS_OPEN);
  KrHttpClient *client = kr_http_client_new (MAX_CONNS, MAX_CONNS, CONN_IDLE_S);
  CallResult results[IDLE_CONNS] = { 0 }, watch = { 0 };
  for (guint c = 0; c < IDLE_CONNS; c++)
    start_call (client, peer, "/renewal", CALL_DEADLINE_S, NULL, &results[c]);
  run_for (CONN_IDLE_S / 2.0);
  g_assert_cmpint (g_atomic_int_get (&peer->connections), ==, IDLE_CONNS);
  g_autoptr (GCancellable) cancel = g_cancellable_new ();
  start_call (client, peer, "/held", WATCH_DEADLINE_S, cancel, &watch);
  run_for (CONN_IDLE_S);
  g_assert_cmpuint (watch.completions, ==, 0);
  g_cancellable_cancel (cancel);
  run_for (LOOP_DELAY_MAX_S);
  g_assert_cmpuint (watch.completions, ==, 1);
  g_assert_cmpint (g_atomic_int_get (&peer->connections), <=,
                   1); /* the watch's: the peer's thread sleeps and does not notice its end */
  kr_http_client_free (client);
}

/* --- calls whose end libsoup does not report ----------------------------------------------- */
typedef struct {
  SoupSession *session;
  SoupMessage *message;
  GCancellable *cancel;
  GAsyncReadyCallback done;
  gpointer data;
} UnreportedCall;

static GPtrArray *unreported_calls; /* NULL: calls are passed on to libsoup */
static SoupSession *latest_session; /* of the newest call; borrowed */

/* Overrides libsoup's function of this name in this program. */
void
soup_session_send_and_read_async (SoupSession *session, SoupMessage *message, int priority,
                                  GCancellable *cancel, GAsyncReadyCallback done, gpointer data)
{
  static void (*real) (SoupSession *, SoupMessage *, int, GCancellable *, GAsyncReadyCallback,
                       gpointer);
  if (!real)
    *(void **) &real = dlsym (RTLD_NEXT, "soup_session_send_and_read_async");
  latest_session = session;
  if (unreported_calls) {
    UnreportedCall *unreported_call = g_new (UnreportedCall, 1);
    *unreported_call = (UnreportedCall){ g_object_ref (session), message, cancel, done, data };
    g_ptr_array_add (unreported_calls, unreported_call);
  } else
    real (session, message, priority, cancel, done, data);
}

/* The calls on all connections are lost at once. Each caller must be answered at its deadline, and
 * later calls must succeed, in a new session. When the ends of the lost calls are reported after
 * all, no caller may be answered a second time. */
static void
test_never_reported (void)
{
  Peer *peer = peer_new (PEER_KEEPS_OPEN);
  KrHttpClient *client = kr_http_client_new (MAX_CONNS, MAX_CONNS, CONN_IDLE_S);
  CallResult lost_calls[MAX_CONNS] = { 0 }, queued_call = { 0 }, later_calls[2 * MAX_CONNS] = { 0 };
  guint before = kr_http_client_lost_calls ();
  unreported_calls = g_ptr_array_new_with_free_func (g_free);
  for (guint c = 0; c < MAX_CONNS; c++)
    start_call (client, peer, "/store", CALL_DEADLINE_S, NULL, &lost_calls[c]);
  g_autoptr (GPtrArray) calls = g_steal_pointer (&unreported_calls);
  start_call (client, peer, "/store", CALL_DEADLINE_S, NULL, &queued_call);
  run_for (CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
  for (guint c = 0; c < MAX_CONNS; c++) {
    assert_completed_in_time (&lost_calls[c]);
    g_assert_cmpuint (lost_calls[c].status, ==, 0);
  }
  assert_completed_in_time (&queued_call); /* the lost calls still count against MAX_CONNS */
  g_assert_cmpuint (queued_call.status, ==, 0);
  run_for (KR_CALL_LOST_TIMEOUT_MS / 1000.0);
  g_assert_cmpuint (kr_http_client_lost_calls () - before, ==, MAX_CONNS);
  for (guint c = 0; c < 2 * MAX_CONNS; c++)
    start_call (client, peer, "/store", CALL_DEADLINE_S, NULL, &later_calls[c]);
  run_for (CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
  for (guint c = 0; c < 2 * MAX_CONNS; c++)
    g_assert_cmpuint (later_calls[c].status, ==, 200);
  g_assert_true (latest_session != ((UnreportedCall *) calls->pdata[0])->session);
  for (guint c = 0; c < calls->len; c++) {
    UnreportedCall *unreported_call = calls->pdata[c];
    soup_session_send_and_read_async (unreported_call->session, unreported_call->message,
                                      G_PRIORITY_DEFAULT, unreported_call->cancel,
                                      unreported_call->done, unreported_call->data);
    g_object_unref (unreported_call->session);
  }
  run_for (LOOP_DELAY_MAX_S);
  for (guint c = 0; c < MAX_CONNS; c++)
    g_assert_cmpuint (lost_calls[c].completions, ==, 1);
  kr_http_client_free (client);
}

/* --- a call that waits for the node's own rate limit --------------------------------------- */
#define RATE_LIMIT_RPS 5.0
#define BUSY_CALLS 40 /* made at twice the rate limit */

typedef struct {
  KrStateClient *state;
  guint calls_made;
  CallResult results[BUSY_CALLS];
} BusyClient;

static gboolean
make_busy_call (gpointer data)
{
  BusyClient *busy = data;
  CallResult *result = &busy->results[busy->calls_made++];
  result->started_at = g_get_monotonic_time ();
  kr_state_get (busy->state, "job/wk-000001", KR_QUEUE_NORMAL, KR_STATE_TIMEOUT_MS, NULL,
                on_response, result);
  return busy->calls_made < BUSY_CALLS ? G_SOURCE_CONTINUE : G_SOURCE_REMOVE;
}

/* The failure: a user's read, which has the lowest class in the rate limiter's queue, was not
 * answered for as long as other calls used up the limit. Its deadline counted from when the call
 * was sent, so the wait in the queue had no limit. */
static void
test_behind_limit (void)
{
  const Peer *peer = peer_new (PEER_KEEPS_OPEN);
  const KrSettings settings = { .state = peer->host,
                                .shard_count = 1,
                                .state_rps = RATE_LIMIT_RPS,
                                .state_write_rps = RATE_LIMIT_RPS };
  g_autofree BusyClient *busy = g_new0 (BusyClient, 1);
  CallResult user_read = { 0 };
  busy->state = kr_state_new (&settings);
  g_timeout_add ((guint) (500 / RATE_LIMIT_RPS), make_busy_call, busy);
  run_for (1);
  user_read.started_at = g_get_monotonic_time ();
  kr_state_get (busy->state, "job/wk-000002", KR_QUEUE_LOW, (guint) (CALL_DEADLINE_S * 1000), NULL,
                on_response, &user_read);
  run_for (CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
  assert_completed_in_time (&user_read);
  g_assert_cmpuint (user_read.status, ==, 429); /* refused by the limiter, not sent */
  run_for (2 * BUSY_CALLS / RATE_LIMIT_RPS - CALL_DEADLINE_S - LOOP_DELAY_MAX_S);
  for (guint i = 0; i < BUSY_CALLS; i++)
    g_assert_cmpuint (busy->results[i].completions, ==, 1);
  kr_state_free (busy->state);
}

/* --- random calls -------------------------------------------------------------------------- */
#define RANDOM_CLIENTS 6
#define RANDOM_CALLS 60   /* for each client */
#define RANDOM_SPAN_S 2.5 /* in which the calls are made */

typedef struct {
  KrHttpClient *client;
  const Peer *peer;
  const char *path;
  double deadline_s;
  GCancellable *cancel;
  CallResult result;
} RandomCall;

static gboolean
make_random_call (gpointer data)
{
  RandomCall *random_call = data;
  start_call (random_call->client, random_call->peer, random_call->path, random_call->deadline_s,
              random_call->cancel, &random_call->result);
  return G_SOURCE_REMOVE;
}

static gboolean
cancel_random_call (gpointer data)
{
  g_cancellable_cancel (((RandomCall *) data)->cancel);
  return G_SOURCE_REMOVE;
}

static gint
random_priority (void)
{
  static const gint priorities[] = { G_PRIORITY_HIGH, G_PRIORITY_DEFAULT, G_PRIORITY_LOW };
  return priorities[g_test_rand_int_range (0, G_N_ELEMENTS (priorities))];
}

static void
plan_random_call (RandomCall *random_call, KrHttpClient *client, Peer *const *peers)
{
  static const char *const paths[] = { "/store", "/renewal", "/held" };
  *random_call = (RandomCall){ client,
                               peers[g_test_rand_int_range (0, PEER_BEHAVIORS)],
                               paths[g_test_rand_int_range (0, G_N_ELEMENTS (paths))],
                               g_test_rand_double_range (0.001, CALL_DEADLINE_S),
                               g_cancellable_new (),
                               { 0 } };
  guint at_ms = (guint) g_test_rand_int_range (0, (gint32) (RANDOM_SPAN_S * 1000));
  g_timeout_add_full (random_priority (), at_ms, make_random_call, random_call, NULL);
  if (g_test_rand_bit ())
    g_timeout_add_full (random_priority (), at_ms + (guint) g_test_rand_int_range (0, 500),
                        cancel_random_call, random_call, NULL);
}

static gboolean
block_loop_briefly (gpointer data)
{
  g_usleep ((gulong) g_test_rand_int_range (0, 60000));
  return G_SOURCE_CONTINUE;
}

/* Random calls to all kinds of peers, with cancellations and short blocks of the loop: each call
 * must complete once and in time, and none may be lost. */
static void
test_random (void)
{
  static RandomCall random_calls[RANDOM_CLIENTS][RANDOM_CALLS];
  guint before = kr_http_client_lost_calls ();
  KrHttpClient *clients[RANDOM_CLIENTS];
  Peer *peers[PEER_BEHAVIORS];
  for (guint behavior = 0; behavior < PEER_BEHAVIORS; behavior++)
    peers[behavior] = peer_new (behavior);
  for (guint i = 0; i < RANDOM_CLIENTS; i++) {
    clients[i] = kr_http_client_new (2 + i, 1 + i, CONN_IDLE_S);
    for (guint c = 0; c < RANDOM_CALLS; c++)
      plan_random_call (&random_calls[i][c], clients[i], peers);
  }
  guint block_timer = g_timeout_add (100, block_loop_briefly, NULL);
  run_for (RANDOM_SPAN_S + CALL_DEADLINE_S + LOOP_DELAY_MAX_S);
  g_source_remove (block_timer);
  for (guint i = 0; i < RANDOM_CLIENTS; i++) {
    for (guint c = 0; c < RANDOM_CALLS; c++) {
      assert_completed_in_time (&random_calls[i][c].result);
      g_object_unref (random_calls[i][c].cancel);
    }
    kr_http_client_free (clients[i]);
  }
  g_assert_cmpuint (kr_http_client_lost_calls () - before, ==, 0);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  loop = g_main_loop_new (NULL, FALSE);
  g_test_add_func ("/calls/blocked-long", test_blocked_long);
  g_test_add_func ("/calls/blocked-short", test_blocked_short);
  g_test_add_func ("/calls/idle-end", test_idle_end);
  g_test_add_func ("/calls/unused-closed", test_unused_closed);
  g_test_add_func ("/calls/never-reported", test_never_reported);
  g_test_add_func ("/calls/random", test_random);
  g_test_add_func ("/calls/behind-limit", test_behind_limit);
  return g_test_run ();
}
