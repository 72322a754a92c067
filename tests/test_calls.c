/* Outbound calls on loopback, with the real HTTP library: each answers its caller exactly once, at
 * the latest at its deadline.
 *
 * What was seen: a controller that had stood still for 56 s, and gone on, never answered a question
 * about its jobs again. It renewed its lease, so nobody else took its part.
 * How it came about: going on, it cancels its watch and reads all keys anew. That call was handed
 * to an idle connection whose idle time had ended meanwhile; the library closes such a connection
 * in the same turn of the main loop, and never reports the end of the call, nor of its
 * cancellation. */
#include "constants.h"
#include "http-client.h"
#include <string.h>
#include <sys/socket.h>

#define IDLE_S 1         /* of all clients here */
#define BLOCK_LONG_S 1.5 /* beyond the idle time */
#define BLOCK_SHORT_S 0.4
#define DEADLINE_S 1.0 /* of a call */
#define WATCH_S 8.0    /* of a call that is held */
#define LATE_S 0.5     /* that the main loop may be late, beside load */
#define RENEWAL_S 0.2  /* that a renewal's answer takes */
#define CONNS 4
#define IDLE_CONNS 3

/* --- the peer: a thread a connection, so that it goes on while the main loop is blocked ------ */
typedef enum {
  PEER_KEEPS,  /* its connections */
  PEER_CLOSES, /* each that has been idle for a while */
  PEER_RESETS, /* the same, by a reset */
  PEER_HOLDS,  /* answers the first calls, then none */
  PEER_KINDS
} PeerKind;

typedef struct {
  PeerKind kind;
  GSocket *listener;
  char *host;
  gint answered; /* atomic */
} Peer;

typedef struct {
  Peer *peer;
  GSocket *socket;
} Connection;

static void
reset_on_close (GSocket *socket)
{
  const struct linger at_once = { 1, 0 };
  setsockopt (g_socket_get_fd (socket), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
}

/* FALSE: the connection is held, or gone. */
static gboolean
answer (Connection *connection, const char *request)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                             "Content-Length: 2\r\n\r\n{}";
  Peer *peer = connection->peer;
  if (g_str_has_prefix (request, "GET /held "))
    return FALSE;
  if (g_str_has_prefix (request, "GET /renewal "))
    g_usleep ((gulong) (RENEWAL_S * G_USEC_PER_SEC));
  if (peer->kind == PEER_HOLDS && g_atomic_int_get (&peer->answered) >= IDLE_CONNS)
    return FALSE;
  g_atomic_int_inc (&peer->answered);
  return g_socket_send (connection->socket, text, strlen (text), NULL, NULL) > 0;
}

/* The next whole request; FALSE: there is none. */
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
  PeerKind kind = connection->peer->kind;
  char buffer[4096];
  while (read_request (connection->socket, buffer, sizeof buffer)) {
    if (!answer (connection, buffer)) {
      g_usleep ((gulong) (2 * WATCH_S * G_USEC_PER_SEC));
      break;
    }
    if (kind == PEER_CLOSES || kind == PEER_RESETS)
      g_socket_set_timeout (connection->socket, IDLE_S);
  }
  if (kind == PEER_RESETS)
    reset_on_close (connection->socket);
  g_socket_close (connection->socket, NULL);
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

/* It stays for the life of the process. */
static Peer *
peer_new (PeerKind kind)
{
  Peer *peer = g_new0 (Peer, 1);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string ("127.0.0.1", 0);
  peer->kind = kind;
  peer->listener =
      g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, NULL);
  g_assert_true (g_socket_bind (peer->listener, any, TRUE, NULL) &&
                 g_socket_listen (peer->listener, NULL));
  g_autoptr (GSocketAddress) own = g_socket_get_local_address (peer->listener, NULL);
  peer->host = g_strdup_printf ("127.0.0.1:%u",
                                g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (own)));
  g_thread_unref (g_thread_new ("accept", accept_connections, peer));
  return peer;
}

/* --- calls ----------------------------------------------------------------------------- */
typedef struct {
  guint ends, status;
  gint64 begun, ended; /* monotonic us */
} Outcome;

static GMainLoop *loop;

static void
ended (guint status, json_t *body, gpointer data)
{
  Outcome *outcome = data;
  outcome->ends++;
  outcome->status = status;
  outcome->ended = g_get_monotonic_time ();
}

static void
call (KrClient *client, const Peer *peer, const char *path, double deadline_s, GCancellable *cancel,
      Outcome *outcome)
{
  outcome->begun = g_get_monotonic_time ();
  kr_client_call (client, "GET", peer->host, path, NULL, (guint) (deadline_s * 1000), cancel, ended,
                  outcome);
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
assert_ended_in_time (const Outcome *outcome)
{
  g_assert_cmpuint (outcome->ends, ==, 1);
  g_assert_cmpfloat ((double) (outcome->ended - outcome->begun) / G_USEC_PER_SEC, <,
                     DEADLINE_S + LATE_S);
}

/* --- a main loop that was blocked -------------------------------------------------------- */
typedef enum { CANCEL_BEFORE, CANCEL_IN, CANCEL_AFTER, CANCEL_MOMENTS } CancelMoment;

/* One client: idle connections, a watch and a renewal under way; the loop is blocked; then the
 * watch is cancelled and a call made. */
typedef struct {
  Peer *peer;
  CancelMoment moment;
  gboolean full; /* all connections are in use */
  KrClient *client;
  GCancellable *cancel;
  Outcome idle[IDLE_CONNS], held[CONNS], renewal, call, later;
} Scene;

typedef struct {
  Scene scenes[PEER_KINDS * CANCEL_MOMENTS * 2];
  guint count;
  double block_s;
} Blocked;

static void
cancel_watch (Scene *scene)
{
  g_cancellable_cancel (scene->cancel);
}

static gboolean
cancel_watches_after (gpointer data)
{
  Blocked *blocked = data;
  for (guint i = 0; i < blocked->count; i++)
    if (blocked->scenes[i].moment == CANCEL_AFTER)
      cancel_watch (&blocked->scenes[i]);
  return G_SOURCE_REMOVE;
}

/* The first that runs after the block, as the watch over a node that stood still. */
static gboolean
go_on (gpointer data)
{
  Blocked *blocked = data;
  for (guint i = 0; i < blocked->count; i++) {
    Scene *scene = &blocked->scenes[i];
    if (scene->moment == CANCEL_IN)
      cancel_watch (scene);
    call (scene->client, scene->peer, "/store", DEADLINE_S, NULL, &scene->call);
  }
  g_timeout_add (1, cancel_watches_after, blocked);
  return G_SOURCE_REMOVE;
}

static gboolean
block (gpointer data)
{
  Blocked *blocked = data;
  for (guint i = 0; i < blocked->count; i++)
    if (blocked->scenes[i].moment == CANCEL_BEFORE)
      cancel_watch (&blocked->scenes[i]);
  g_usleep ((gulong) (blocked->block_s * G_USEC_PER_SEC));
  g_timeout_add_full (G_PRIORITY_HIGH, 0, go_on, blocked, NULL);
  return G_SOURCE_REMOVE;
}

static void
begin_scenes (Blocked *blocked)
{
  for (guint i = 0; i < blocked->count; i++) {
    Scene *scene = &blocked->scenes[i];
    scene->client = kr_client_new (CONNS, CONNS, IDLE_S);
    scene->cancel = g_cancellable_new ();
    for (guint c = 0; c < IDLE_CONNS; c++)
      call (scene->client, scene->peer, "/idle", DEADLINE_S, NULL, &scene->idle[c]);
  }
  run_for (0.3); /* they are answered */
  for (guint i = 0; i < blocked->count; i++) {
    Scene *scene = &blocked->scenes[i];
    guint held = scene->full ? CONNS : 1;
    for (guint c = 0; c < held; c++)
      call (scene->client, scene->peer, "/held", WATCH_S, scene->cancel, &scene->held[c]);
    call (scene->client, scene->peer, "/renewal", DEADLINE_S, NULL, &scene->renewal);
  }
}

static void
check_scene (Scene *scene)
{
  for (guint c = 0; c < IDLE_CONNS; c++)
    g_assert_cmpuint (scene->idle[c].status, ==, 200);
  for (guint c = 0; c < (scene->full ? CONNS : 1); c++) {
    g_assert_cmpuint (scene->held[c].ends, ==, 1);
    g_assert_cmpuint (scene->held[c].status, ==, 0);
  }
  g_assert_cmpuint (scene->renewal.ends, ==, 1);
  assert_ended_in_time (&scene->call);
  g_assert_cmpuint (scene->call.status, ==, scene->peer->kind == PEER_HOLDS ? 0 : 200);
  /* No connection is kept from those that come after. */
  assert_ended_in_time (&scene->later);
  g_assert_cmpuint (scene->later.status, ==, scene->peer->kind == PEER_HOLDS ? 0 : 200);
}

static void
test_blocked_for (double block_s)
{
  g_autofree Blocked *blocked = g_new0 (Blocked, 1);
  blocked->block_s = block_s;
  for (guint kind = 0; kind < PEER_KINDS; kind++)
    for (guint moment = 0; moment < CANCEL_MOMENTS; moment++)
      for (guint full = 0; full < 2; full++)
        blocked->scenes[blocked->count++] =
            (Scene){ .peer = peer_new (kind), .moment = moment, .full = full };
  begin_scenes (blocked);
  g_timeout_add (100, block, blocked);
  run_for (0.1 + block_s + DEADLINE_S + LATE_S);
  for (guint i = 0; i < blocked->count; i++)
    call (blocked->scenes[i].client, blocked->scenes[i].peer, "/later", DEADLINE_S, NULL,
          &blocked->scenes[i].later);
  run_for (DEADLINE_S + LATE_S);
  for (guint i = 0; i < blocked->count; i++) {
    const Scene *scene = &blocked->scenes[i];
    g_test_message ("peer %u, cancelled %u, full %d: %u ends, status %u", scene->peer->kind,
                    scene->moment, scene->full, scene->call.ends, scene->call.status);
    check_scene (&blocked->scenes[i]);
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

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  loop = g_main_loop_new (NULL, FALSE);
  g_test_add_func ("/calls/blocked-long", test_blocked_long);
  g_test_add_func ("/calls/blocked-short", test_blocked_short);
  return g_test_run ();
}
